package endpoints

import (
	"testing"

	"orchiddrift/balancer"
)

// An upstream whose cell was missing from the list was taken for one of cell 0, with all others whose cell was missing.
func TestMissingCellIsUnknown(t *testing.T) {
	list, err := ParseList([]byte(`{"index":1,"snapshot":true,"endpoints":[
		{"name":"a","address":"127.0.0.2:1","zone":"z","status":"Ready"},
		{"name":"b","address":"127.0.0.2:2","group":0,"status":"Ready"},
		{"name":"c","address":"127.0.0.2:3","group":null,"status":"Ready"},
		{"name":"d","address":"127.0.0.2:4","group":7,"status":"Ready"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{balancer.UnknownCell, 0, balancer.UnknownCell, 7} {
		if got := list.Endpoints[i].Cell; got != want {
			t.Errorf("endpoint %s is in cell %d, want %d", list.Endpoints[i].Name, got, want)
		}
	}
	if list.Endpoints[0].Zone != "z" || list.Endpoints[0].Address != "127.0.0.2:1" {
		t.Errorf("the first endpoint is %+v, want its zone and address", list.Endpoints[0])
	}
}
