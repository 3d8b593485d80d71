package weights

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// TopicOrders is the topic of announcements. It has one partition in use.
const TopicOrders = "orders"

// Announcement is a record of the orders' topic. A VM announces an order, on the
// condition that no other announcement came since it last read, before it gives
// it. The record's offset is the order's fencing token, so that tokens rise with
// every order whoever gives it.
type Announcement struct {
	Schema  int
	Holder  rollout.VMName
	Server  rollout.ServerName
	Model   rollout.ModelName
	Version rollout.WeightVersion
	// Loaded tells that the engine has carried the order out.
	Loaded bool `cbor:",omitempty"`
}

// announcementSchema is the schema that this program reads.
const announcementSchema = 1

// EncodeAnnouncement returns the record of an announcement.
func EncodeAnnouncement(a Announcement) ([]byte, error) {
	a.Schema = announcementSchema
	data, err := cbor.Marshal(a)
	return data, rollout.Tried(err, "encode an announcement")
}

// DecodeAnnouncement reads and checks an announcement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := cbor.Unmarshal(data, &a); err != nil {
		return Announcement{}, rollout.Tried(err, "decode an announcement")
	}
	if a.Schema != announcementSchema || a.Holder == "" || a.Server == "" || a.Model == "" {
		return Announcement{}, fmt.Errorf("announcement: got schema %d, expected %d with Holder, Server and Model", a.Schema, announcementSchema)
	}
	return a, nil
}
