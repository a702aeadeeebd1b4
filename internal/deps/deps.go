// Package deps pins the libraries that the design names until each has its first user.
package deps

import (
	_ "github.com/DataDog/sketches-go/ddsketch"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cloudwego/hertz/pkg/app/server"
	_ "github.com/google/uuid"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/qmuntal/stateless"
	_ "github.com/rs/zerolog"
	_ "github.com/twitchtv/twirp"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/ini.v1"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
