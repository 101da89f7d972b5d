package cli

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
	"github.com/hillfork/hillfork/internal/gen/hillfork/v1/hillforkv1connect"
)

// listPageSize is the number of items requested per page.
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

// listResponse is a response that contains one page of a list.
type listResponse interface {
	GetNextPageToken() string
	GetFreshness() *v1.Freshness
}

// readPages requests all pages of a list in turn and passes each response to visit. It stops at an empty or repeated page
// token.
func readPages[Q any, P any, R interface {
	*P
	listResponse
}](
	ctx context.Context,
	call func(context.Context, *connect.Request[Q]) (*connect.Response[P], error),
	request func(page *v1.Page) *Q,
	visit func(R),
) error {
	token := ""
	for {
		page := &v1.Page{Size: listPageSize, Token: token}
		response, err := call(ctx, connect.NewRequest(request(page)))
		if err != nil {
			return readError(err)
		}
		list := R(response.Msg)
		visit(list)
		if list.GetNextPageToken() == "" || list.GetNextPageToken() == token {
			return nil
		}
		token = list.GetNextPageToken()
	}
}
