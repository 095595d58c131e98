package link

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// AckedBytes returns the number of bytes that the other end of a TCP connection has acknowledged so far, and false
// if that is not known. Wrapped connections are found by their method NetConn. The number of written bytes tells less
// about a slow reader: a write waits until a large part of the kernel's buffer is free.
func AckedBytes(c net.Conn) (int64, bool) {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failure != nil {
		return 0, false
	}
	return int64(info.Bytes_acked), true
}
