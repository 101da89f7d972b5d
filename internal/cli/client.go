package cli

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
)

// listPageSize is how many items are asked for at once.
const listPageSize = 100

func (a *application) baseURL() string {
	return "http://" + a.server
}

func (a *application) admin() hillforkv1connect.AdminServiceClient {
	return hillforkv1connect.NewAdminServiceClient(http.DefaultClient, a.baseURL())
}

func (a *application) samples() hillforkv1connect.SampleServiceClient {
	return hillforkv1connect.NewSampleServiceClient(http.DefaultClient, a.baseURL())
}

func (a *application) requests() hillforkv1connect.RequestServiceClient {
	return hillforkv1connect.NewRequestServiceClient(http.DefaultClient, a.baseURL())
}

// listResponse is an answer that holds one page of a list.
type listResponse interface {
	GetNextPageToken() string
	GetFreshness() *v1.Freshness
}

// readPages asks for page after page until the list ends, and hands each to take.
func readPages[Q any, P any, R interface {
	*P
	listResponse
}](
	ctx context.Context,
	call func(context.Context, *connect.Request[Q]) (*connect.Response[P], error),
	request func(page *v1.Page) *Q,
	take func(R),
) error {
	token := ""
	for {
		page := &v1.Page{Size: listPageSize, Token: token}
		response, err := call(ctx, connect.NewRequest(request(page)))
		if err != nil {
			return readError(err)
		}
		answer := R(response.Msg)
		take(answer)
		if answer.GetNextPageToken() == "" || answer.GetNextPageToken() == token {
			return nil
		}
		token = answer.GetNextPageToken()
	}
}
