package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"yuccalanding.example/yuccalanding/internal/operator"
)

const (
	// operatorCallTimeout is long because a change of the configuration waits for
	// the log, whose appends may take seconds.
	operatorCallTimeout = time.Minute
	// maxOperatorResponseBytes limits the memory that a response can use.
	maxOperatorResponseBytes = 256 << 20
)

// operatorFlags are the flags of verbs that use the operators' interface.
type operatorFlags struct {
	Operator  string `help:"Operators' address of an entry VM." placeholder:"IP:PORT" default:"127.0.0.1:8081" env:"YUCCALANDING_OPERATOR"`
	TokenFile string `help:"File that holds the token." placeholder:"FILE" env:"YUCCALANDING_TOKEN_FILE"`
	CAFile    string `help:"Certificates of the authorities that sign the node's certificate; turns on TLS." name:"ca-file" placeholder:"FILE" env:"YUCCALANDING_CA_FILE"`
	JSON      bool   `help:"Write JSON instead of a table." name:"json"`
}

// callOperator makes one call to the operators' interface of a node and decodes
// the response. It never retries, since the call may change something.
func callOperator[T any](ctx context.Context, flags *operatorFlags, method, path string, body any) (T, error) {
	var response T
	content, err := flags.send(ctx, method, path, body)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(content, &response); err != nil {
		return response, fmt.Errorf("the response of the node at %s to %s can't be decoded: %w; check that the node and this program have the same version", flags.Operator, path, err)
	}
	return response, nil
}

// send makes one call with a JSON body, or without one if body is nil, and
// returns the body of the response if its status is 200.
func (f *operatorFlags) send(ctx context.Context, method, path string, body any) ([]byte, error) {
	if _, err := parseAddresses("--operator", []string{f.Operator}); err != nil {
		return nil, err
	}
	token, err := readToken(f.TokenFile)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := readTLSConfig(f.CAFile)
	if err != nil {
		return nil, err
	}
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	var payload bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&payload).Encode(body); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, scheme+f.Operator+path, &payload)
	if err != nil {
		return nil, err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	// http.DefaultClient would use a proxy that is set in the environment.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: tlsConfig}}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w; check that an entry VM listens for operators at %s (--operator)", err, f.Operator)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxOperatorResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("the connection to %s failed during the response to %s: %w; check the state of the node before trying again", f.Operator, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, f.failure(path, response.StatusCode, content)
	}
	return content, nil
}

// failure returns the error for a response whose status is not 200. It wraps an
// *operator.Failure and adds a hint on what to do next.
func (f *operatorFlags) failure(path string, status int, content []byte) error {
	failure := &operator.Failure{}
	if json.Unmarshal(content, failure) != nil || failure.Message == "" {
		failure.Message = fmt.Sprintf("status %d", status)
	}
	failure.Status = status
	hint := ""
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		hint = "\nName a token of the required role with --token-file."
	case http.StatusBadRequest:
		// net/http answers a plain HTTP request on a TLS listener with this text.
		if f.CAFile == "" && bytes.Contains(content, []byte("HTTPS server")) {
			hint = "\nThe node uses TLS; name the certificates of its authority with --ca-file."
		}
	case http.StatusConflict:
		hint = "\nCompare with the configuration in force (config show, config diff) and apply the change again with its version as the base."
	}
	return fmt.Errorf("%s%s: %w%s", f.Operator, path, failure, hint)
}
