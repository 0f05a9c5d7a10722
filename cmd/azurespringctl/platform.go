package main

import (
	"context"
	"time"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	store "github.com/azurespring/azurespring/pkg/platform"
	"github.com/azurespring/azurespring/platform"
)

// storeTimeout bounds the connection to the store and the read of the configuration.
const storeTimeout = 5 * time.Second

// platformConfigurations implements ctl.PlatformConfigurations.
type platformConfigurations struct{}

// Decode implements ctl.PlatformConfigurations.
func (platformConfigurations) Decode(document []byte) (mesh.Configuration, error) {
	return platform.DecodeConfiguration(document)
}

// InForce implements ctl.PlatformConfigurations.
func (platformConfigurations) InForce(ctx context.Context, address string) (mesh.Configuration, error) {
	client := platform.NewStore(platform.StoreOptions{
		Address: address, Dial: exchange.Dialer{Timeout: storeTimeout}.DialContext, CallTimeout: storeTimeout,
	})
	defer client.Close()
	object, err := client.Get(ctx, store.KindConfiguration, platform.DocumentCodec{}.ConfigurationName())
	if err != nil {
		return mesh.Configuration{}, err
	}
	return platform.DecodeConfiguration(object.Value)
}
