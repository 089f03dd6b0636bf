package grpcbalancer

import (
	"reflect"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// messageType creates messages of the same type as a caller's message. It is determined before the call begins, because one attempt may
// write to the caller's message while another attempt needs a new message.
type messageType struct {
	proto protoreflect.MessageType // nil if the message is not a protobuf message
	plain reflect.Type             // the type that the message points to, if proto is nil
}

// messageTypeOf returns the type of message, which is a protobuf message or a pointer.
func messageTypeOf(message any) messageType {
	if m, ok := message.(proto.Message); ok {
		return messageType{proto: m.ProtoReflect().Type()}
	}
	return messageType{plain: reflect.TypeOf(message).Elem()}
}

// newMessage returns a new, empty message.
func (t messageType) newMessage() any {
	if t.proto != nil {
		return t.proto.New().Interface()
	}
	return reflect.New(t.plain).Interface()
}

// copyMessage overwrites one message with another of the same type. The parameter to is the destination, and from is the source.
func copyMessage(to, from any) {
	if t, ok := to.(proto.Message); ok {
		proto.Reset(t)
		proto.Merge(t, from.(proto.Message))
		return
	}
	reflect.ValueOf(to).Elem().Set(reflect.ValueOf(from).Elem())
}
