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

// row is one line of the table.
type row struct{ directory, symbol, name string }

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

func run(path string) error {
	rows, err := readTable(path)
	if err != nil {
		return err
	}
	set := token.NewFileSet()
	loaded, err := packages.Load(&packages.Config{
		Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes |
			packages.NeedTypesInfo | packages.NeedImports,
		Fset: set, Tests: true,
	}, "./...")
	if err != nil {
		return err
	}
	if packages.PrintErrors(loaded) > 0 {
		return fmt.Errorf("the module doesn't compile")
	}
	wanted := map[string]string{} // position of the declaration -> new name
	for _, r := range rows {
		position, ok := declared(set, loaded, r)
		if !ok {
			fmt.Fprintf(os.Stderr, "skipped, not declared: %s %s\n", r.directory, r.symbol)
			continue
		}
		wanted[position] = r.name
	}
	return write(collect(set, loaded, wanted))
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
			return nil, fmt.Errorf("%s: a line has DIRECTORY SYMBOL NEW: %q", path, scanner.Text())
		}
		rows = append(rows, row{fields[0], fields[1], fields[2]})
	}
	return rows, nil
}

// place is a position that is equal for the copies of one object that come
// from source, from a test variant and from export data.
func place(set *token.FileSet, pos token.Pos) string {
	p := set.Position(pos)
	return fmt.Sprintf("%s:%d:%d", p.Filename, p.Line, p.Column)
}

// declared finds the declaration of a row in the syntax of its directory.
func declared(set *token.FileSet, loaded []*packages.Package, r row) (string, bool) {
	directory, err := filepath.Abs(r.directory)
	if err != nil {
		return "", false
	}
	owner, member, isMember := strings.Cut(r.symbol, ".")
	for _, p := range loaded {
		for _, file := range p.Syntax {
			if filepath.Dir(set.Position(file.Pos()).Filename) != directory {
				continue
			}
			for id, object := range p.TypesInfo.Defs {
				if object == nil || id.Name != symbolName(owner, member, isMember) {
					continue
				}
				if set.Position(id.Pos()).Filename == set.Position(file.Pos()).Filename && belongs(object, owner, isMember) {
					return place(set, id.Pos()), true
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

// belongs reports whether an object is a member of the type owner, or is
// declared at package level.
func belongs(object types.Object, owner string, isMember bool) bool {
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

// collect returns the edits of each file.
func collect(set *token.FileSet, loaded []*packages.Package, wanted map[string]string) map[string]map[int]edit {
	edits := map[string]map[int]edit{}
	put := func(id *ast.Ident, name string) {
		p := set.Position(id.Pos())
		if edits[p.Filename] == nil {
			edits[p.Filename] = map[int]edit{}
		}
		edits[p.Filename][p.Offset] = edit{p.Offset, id.Name, name}
	}
	for _, p := range loaded {
		for _, uses := range []map[*ast.Ident]types.Object{p.TypesInfo.Defs, p.TypesInfo.Uses} {
			for id, object := range uses {
				if object == nil {
					continue
				}
				if name, ok := newName(set, object, wanted); ok && name.old == id.Name {
					put(id, name.new)
				}
			}
		}
		for _, file := range p.Syntax {
			documentation(set, file, wanted, put)
		}
	}
	return edits
}

type change struct{ old, new string }

// newName returns the name that an object gets. An embedded field is renamed
// with its type.
func newName(set *token.FileSet, object types.Object, wanted map[string]string) (change, bool) {
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
	name, ok := wanted[place(set, object.Pos())]
	return change{object.Name(), name}, ok
}

// documentation renames an identifier in its own doc comment.
func documentation(set *token.FileSet, file *ast.File, wanted map[string]string, put func(*ast.Ident, string)) {
	in := func(group *ast.CommentGroup, id *ast.Ident) {
		name, ok := wanted[place(set, id.Pos())]
		if !ok || group == nil {
			return
		}
		word := regexp.MustCompile(`\b` + regexp.QuoteMeta(id.Name) + `\b`)
		for _, comment := range group.List {
			for _, at := range word.FindAllStringIndex(comment.Text, -1) {
				put(&ast.Ident{NamePos: comment.Pos() + token.Pos(at[0]), Name: id.Name}, name)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			in(n.Doc, n.Name)
		case *ast.GenDecl:
			for _, spec := range n.Specs {
				switch s := spec.(type) {
				case *ast.TypeSpec:
					in(n.Doc, s.Name)
					in(s.Doc, s.Name)
				case *ast.ValueSpec:
					for _, name := range s.Names {
						in(n.Doc, name)
						in(s.Doc, name)
					}
				}
			}
		case *ast.Field:
			for _, name := range n.Names {
				in(n.Doc, name)
			}
		}
		return true
	})
}

// write applies the edits from the end of each file to its start.
func write(edits map[string]map[int]edit) error {
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
				return fmt.Errorf("%s: offset %d is not %s", path, offset, e.old)
			}
			text = append(text[:offset:offset], append([]byte(e.new), text[offset+len(e.old):]...)...)
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			return err
		}
	}
	return nil
}
