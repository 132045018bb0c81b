// Rename renames declared identifiers of the module in one pass, with type
// information, so that every use follows and no string changes.
//
// Usage, in the root of the repository:
//
//	go build -C scripts/rename -o /tmp/rename . && /tmp/rename TABLE
//
// Each line of TABLE is "DIRECTORY SYMBOL NEW". SYMBOL is Name or Type.Member.
// Rows whose symbol is not declared are reported and skipped. For local
// variables use "gopls rename", which the same go.mod declares as a tool.
package main

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"

	"golang.org/x/tools/go/packages"
)

// row is one line of the table: a directory, a symbol declared in it and its new name.
type row struct{ directory, symbol, newName string }

// edit replaces the identifier at an offset of a file.
type edit struct {
	offset   int
	old, new string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rename TABLE")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "rename:", err)
		os.Exit(1)
	}
}

func run(tablePath string) error {
	rows, err := readTable(tablePath)
	if err != nil {
		return err
	}
	fset := token.NewFileSet()
	pkgs, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes |
			packages.NeedTypesInfo | packages.NeedImports,
		Fset: fset, Tests: true,
	}, "./...")
	if err != nil {
		return err
	}
	if packages.PrintErrors(pkgs) > 0 {
		return fmt.Errorf("the module doesn't compile")
	}
	newNames := map[string]string{} // position of the declaration -> new name
	for _, r := range rows {
		position, ok := findDeclaration(fset, pkgs, r)
		if !ok {
			fmt.Fprintf(os.Stderr, "skipped, not declared: %s %s\n", r.directory, r.symbol)
			continue
		}
		newNames[position] = r.newName
	}
	return applyEdits(collectEdits(fset, pkgs, newNames))
}

func readTable(path string) ([]row, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var rows []row
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s: line is not of the form DIRECTORY SYMBOL NEW: %q", path, scanner.Text())
		}
		rows = append(rows, row{fields[0], fields[1], fields[2]})
	}
	return rows, nil
}

// positionKey returns a position as a string. One object may be loaded several times,
// from source, in a test variant and from export data, always with the same position.
func positionKey(fset *token.FileSet, pos token.Pos) string {
	p := fset.Position(pos)
	return fmt.Sprintf("%s:%d:%d", p.Filename, p.Line, p.Column)
}

// findDeclaration returns the positionKey of the declaration of a row, and whether its
// directory declares it.
func findDeclaration(fset *token.FileSet, pkgs []*packages.Package, r row) (string, bool) {
	directory, err := filepath.Abs(r.directory)
	if err != nil {
		return "", false
	}
	owner, member, isMember := strings.Cut(r.symbol, ".")
	for _, p := range pkgs {
		for _, file := range p.Syntax {
			if filepath.Dir(fset.Position(file.Pos()).Filename) != directory {
				continue
			}
			for id, object := range p.TypesInfo.Defs {
				if object == nil || id.Name != symbolName(owner, member, isMember) {
					continue
				}
				if fset.Position(id.Pos()).Filename == fset.Position(file.Pos()).Filename && matchesSymbol(object, owner, isMember) {
					return positionKey(fset, id.Pos()), true
				}
			}
		}
	}
	return "", false
}

func symbolName(owner, member string, isMember bool) string {
	if isMember {
		return member
	}
	return owner
}

// matchesSymbol reports whether an object is a method or field of the type owner or,
// if isMember is false, is declared at package level.
func matchesSymbol(object types.Object, owner string, isMember bool) bool {
	if !isMember {
		return object.Parent() != nil && object.Pkg() != nil && object.Parent() == object.Pkg().Scope()
	}
	switch o := object.(type) {
	case *types.Func:
		receiver := o.Signature().Recv()
		return receiver != nil && typeName(receiver.Type()) == owner
	case *types.Var:
		if !o.IsField() || object.Pkg() == nil {
			return false
		}
		named := object.Pkg().Scope().Lookup(owner)
		if named == nil {
			return false
		}
		fields, ok := named.Type().Underlying().(*types.Struct)
		for i := 0; ok && i < fields.NumFields(); i++ {
			if fields.Field(i) == o {
				return true
			}
		}
	}
	return false
}

func typeName(t types.Type) string {
	if pointer, ok := t.(*types.Pointer); ok {
		t = pointer.Elem()
	}
	if named, ok := t.(*types.Named); ok {
		return named.Obj().Name()
	}
	return ""
}

// collectEdits returns the edits by file name and offset.
func collectEdits(fset *token.FileSet, pkgs []*packages.Package, newNames map[string]string) map[string]map[int]edit {
	edits := map[string]map[int]edit{}
	addEdit := func(id *ast.Ident, name string) {
		p := fset.Position(id.Pos())
		if edits[p.Filename] == nil {
			edits[p.Filename] = map[int]edit{}
		}
		edits[p.Filename][p.Offset] = edit{p.Offset, id.Name, name}
	}
	for _, p := range pkgs {
		for _, objects := range []map[*ast.Ident]types.Object{p.TypesInfo.Defs, p.TypesInfo.Uses} {
			for id, object := range objects {
				if object == nil {
					continue
				}
				if names, ok := nameChange(fset, object, newNames); ok && names.old == id.Name {
					addEdit(id, names.new)
				}
			}
		}
		for _, file := range p.Syntax {
			collectDocEdits(fset, file, newNames, addEdit)
		}
	}
	return edits
}

// change is the old and the new name of an object.
type change struct{ old, new string }

// nameChange returns the old and the new name of an object, and whether it is renamed.
// An embedded field is renamed with its type.
func nameChange(fset *token.FileSet, object types.Object, newNames map[string]string) (change, bool) {
	switch o := object.(type) {
	case *types.Var:
		object = o.Origin()
		if o.Embedded() {
			t := o.Type()
			if pointer, ok := t.(*types.Pointer); ok {
				t = pointer.Elem()
			}
			if named, ok := t.(*types.Named); ok {
				object = named.Obj()
			}
		}
	case *types.Func:
		object = o.Origin()
	}
	name, ok := newNames[positionKey(fset, object.Pos())]
	return change{object.Name(), name}, ok
}

// collectDocEdits adds the edits that rename identifiers in their own doc comments.
func collectDocEdits(fset *token.FileSet, file *ast.File, newNames map[string]string, addEdit func(*ast.Ident, string)) {
	renameIn := func(group *ast.CommentGroup, id *ast.Ident) {
		name, ok := newNames[positionKey(fset, id.Pos())]
		if !ok || group == nil {
			return
		}
		word := regexp.MustCompile(`\b` + regexp.QuoteMeta(id.Name) + `\b`)
		for _, comment := range group.List {
			for _, at := range word.FindAllStringIndex(comment.Text, -1) {
				addEdit(&ast.Ident{NamePos: comment.Pos() + token.Pos(at[0]), Name: id.Name}, name)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			renameIn(n.Doc, n.Name)
		case *ast.GenDecl:
			for _, spec := range n.Specs {
				switch s := spec.(type) {
				case *ast.TypeSpec:
					renameIn(n.Doc, s.Name)
					renameIn(s.Doc, s.Name)
				case *ast.ValueSpec:
					for _, name := range s.Names {
						renameIn(n.Doc, name)
						renameIn(s.Doc, name)
					}
				}
			}
		case *ast.Field:
			for _, name := range n.Names {
				renameIn(n.Doc, name)
			}
		}
		return true
	})
}

// applyEdits applies the edits from the end of each file to its start.
func applyEdits(edits map[string]map[int]edit) error {
	for path, byOffset := range edits {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		offsets := make([]int, 0, len(byOffset))
		for offset := range byOffset {
			offsets = append(offsets, offset)
		}
		sort.Sort(sort.Reverse(sort.IntSlice(offsets)))
		for _, offset := range offsets {
			e := byOffset[offset]
			if string(text[offset:offset+len(e.old)]) != e.old {
				return fmt.Errorf("%s: the text at offset %d is not %s", path, offset, e.old)
			}
			text = append(text[:offset:offset], append([]byte(e.new), text[offset+len(e.old):]...)...)
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
