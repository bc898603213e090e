package faultproxy

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"tarragonhollow.example/tarragonhollow/standin/control"
)

// Control returns the HTTP handler that controls the proxy: GET and PUT
// /control/faults, DELETE /control/faults to clear them, POST /control/cut to reset
// the open connections once, and GET /control/stats.
func (p *Proxy) Control() http.Handler {
	e := control.NewEcho()
	e.GET("/control/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Faults()) })
	e.PUT("/control/faults", p.putFaults)
	e.DELETE("/control/faults", func(c echo.Context) error { return p.applyFaults(c, Faults{}) })
	e.POST("/control/cut", p.postCut)
	e.GET("/control/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Stats()) })
	return e
}

func (p *Proxy) putFaults(c echo.Context) error {
	var faults Faults
	if err := control.Decode(c, &faults); err != nil {
		return err
	}
	if err := faults.validate(); err != nil {
		return control.WriteError(c, http.StatusBadRequest, err.Error())
	}
	return p.applyFaults(c, faults)
}

func (p *Proxy) applyFaults(c echo.Context, faults Faults) error {
	if err := p.SetFaults(faults); err != nil {
		return control.WriteError(c, http.StatusConflict, err.Error())
	}
	return c.JSON(http.StatusOK, p.Faults())
}

func (p *Proxy) postCut(c echo.Context) error {
	p.CutConnections()
	return c.JSON(http.StatusOK, p.Stats())
}
