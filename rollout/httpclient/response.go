package httpclient

import (
	"fmt"
	"net/http"
)

// checkStatus returns an error unless a response has the status of a final response (RFC 9110,
// section 15). net/http accepts any three digits. It returns interim responses only if they
// switch to another protocol, which no request asks for.
func checkStatus(response *http.Response) error {
	if response.StatusCode < 200 || response.StatusCode > 599 {
		return fmt.Errorf("status %03d is not that of a response", response.StatusCode)
	}
	return nil
}
