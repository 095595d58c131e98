package link

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// AckedBytes returns the number of bytes that the other end of a TCP connection has acknowledged so far, and false
// if that is not known. The number of written bytes tells less about a slow reader: a write waits until a large part
// of the kernel's buffer is free.
func AckedBytes(c net.Conn) (int64, bool) {
	socket, ok := Socket(c).(syscall.Conn)
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

// Socket returns the innermost of wrapped connections, which are found by their method NetConn.
func Socket(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}
