package declare_test

import (
	"bytes"
	"testing"

	"lagoonlink.org/declare"
	"lagoonlink.org/rollout/assert"
)

func deployment() declare.Deployment {
	return declare.NewDeployment("small").
		WithZones("Bole").
		WithPools(declare.NewPool("assistant").WithModels("m").WithServers(declare.Servers("sampler", 1, 2, "Bole", "10.1.1", 11, 8000)...))
}

func render(t *testing.T, d declare.Deployment) string {
	t.Helper()
	var b bytes.Buffer
	assert.NoError(t, "print", d.Fprint(&b))
	return b.String()
}

func TestValuesAreImmutable(t *testing.T) {
	original := deployment()
	before := render(t, original)
	original.WithZones("Yeka")
	one, two := original.WithZones("Kirkos"), original.WithZones("Yeka")
	assert.Equal(t, "the original after changes to copies", render(t, original), before)
	assert.True(t, "copies differ", render(t, one) != render(t, two))
}

func TestOrderIsStable(t *testing.T) {
	assert.Equal(t, "second print", render(t, deployment()), render(t, deployment()))
}

func TestBuildRejectsInvalidDeployments(t *testing.T) {
	for _, c := range []struct {
		name string
		d    declare.Deployment
		want string
	}{
		{"no zone", declare.NewDeployment("x"), "Zones: expected at least one"},
		{"a pool without models", deployment().WithPools(declare.NewPool("other")), "Pools[1].Models"},
		{"a trainer of an unknown pool", deployment().WithTrainers(declare.NewTrainer("t", "none", "m").WithZone("Bole")), `pool "none" does not serve`},
		{"a server declared twice", deployment().WithServices(declare.NewService("s").WithServers(declare.Servers("sampler", 1, 1, "Bole", "10.1.1", 11, 8000)...)), "is declared in"},
		{"a caller without a token", deployment().WithCallers(declare.NewCaller("c")), "Callers[0].TokenHash"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := c.d.Build()
			assert.ErrorContains(t, "build", err, c.want)
		})
	}
}
