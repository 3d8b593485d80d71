package weights

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// TopicOrders is the journal topic of announcements. Only one of its partitions
// is used.
const TopicOrders = "orders"

// Announcement is a record of TopicOrders. A VM appends it before it sends an
// order, and the append succeeds only if no other announcement was appended since
// the VM last read the topic. The order's fencing token is one more than the record's
// offset, so tokens increase with every order, whichever VM sends it.
type Announcement struct {
	Schema int
	// Holder is the VM that sends the order.
	Holder  rollout.VMName
	Server  rollout.ServerName
	Model   rollout.ModelName
	Version rollout.WeightVersion
	// Loaded reports that the engine has loaded the version.
	Loaded bool `cbor:",omitempty"`
}

// announcementSchema is the schema version that this program writes and accepts.
const announcementSchema = 1

// EncodeAnnouncement encodes an announcement with the current schema version.
func EncodeAnnouncement(a Announcement) ([]byte, error) {
	a.Schema = announcementSchema
	data, err := cbor.Marshal(a)
	return data, rollout.Wrapf(err, "encode announcement")
}

// DecodeAnnouncement decodes and validates an announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := cbor.Unmarshal(data, &a); err != nil {
		return Announcement{}, rollout.Wrapf(err, "decode announcement")
	}
	if a.Schema != announcementSchema || a.Holder == "" || a.Server == "" || a.Model == "" {
		return Announcement{}, fmt.Errorf("announcement: got schema %d, expected schema %d with Holder, Server and Model set", a.Schema, announcementSchema)
	}
	return a, nil
}
