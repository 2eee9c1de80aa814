package provider

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	platformv1 "lycheecrank.example/api/platform/v1"
	"lycheecrank.example/api/platform/v1/platformv1connect"
)

// Role tells what an instance of the list is.
type Role int

// The roles.
const (
	// EntryRole is an instance of the serving system.
	EntryRole Role = iota + 1
	// BackendRole is a backend server.
	BackendRole
)

// Instance is an entry of the platform's list.
type Instance struct {
	Name        string
	Incarnation string
	DataCentre  string
	Role        Role
	// Address is where callers (entry) or instances (backend) connect, as
	// IP:port.
	Address string
	// PeerAddress is where other instances connect; empty for backend servers.
	PeerAddress string
	Leaving     bool
}

// Instances is a client of the list of live and leaving instances, which lags.
// Concurrent calls are safe.
type Instances struct {
	List     func(ctx context.Context) ([]Instance, error)
	Announce func(ctx context.Context, i Instance) error
}

// NewInstances returns a client for the list of instances at a base URL.
func NewInstances(client *http.Client, baseURL string) *Instances {
	c := instancesClient{platformv1connect.NewInstancesServiceClient(client, baseURL)}
	return &Instances{List: c.list, Announce: c.announce}
}

type instancesClient struct {
	service platformv1connect.InstancesServiceClient
}

func (c instancesClient) list(ctx context.Context) ([]Instance, error) {
	res, err := c.service.List(ctx, connect.NewRequest(&platformv1.ListRequest{}))
	if err != nil {
		return nil, asPlatformError(err, "list instances")
	}
	list := make([]Instance, 0, len(res.Msg.GetInstances()))
	for _, i := range res.Msg.GetInstances() {
		list = append(list, Instance{
			Name:        i.GetName(),
			Incarnation: i.GetIncarnation(),
			DataCentre:  i.GetDataCentre(),
			Role:        Role(i.GetRole()),
			Address:     i.GetAddress(),
			PeerAddress: i.GetPeerAddress(),
			Leaving:     i.GetLeaving(),
		})
	}
	return list, nil
}

func (c instancesClient) announce(ctx context.Context, i Instance) error {
	_, err := c.service.Announce(ctx, connect.NewRequest(&platformv1.AnnounceRequest{Instance: &platformv1.Instance{
		Name:        i.Name,
		Incarnation: i.Incarnation,
		DataCentre:  i.DataCentre,
		Role:        platformv1.InstanceRole(i.Role),
		Address:     i.Address,
		PeerAddress: i.PeerAddress,
		Leaving:     i.Leaving,
	}}))
	if err != nil {
		return asPlatformError(err, "announce instance")
	}
	return nil
}
