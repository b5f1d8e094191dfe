#include "adapters/udp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/errqueue.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  SOCKET_BUFFER_BYTES = 4 << 20, /* holds a burst of 3,000 datagrams of the largest size */
};

static struct sockaddr_in
to_sockaddr (oh_address_t address)
{
  return (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons (address.port),
    .sin_addr.s_addr = htonl (address.ipv4),
  };
}

static oh_address_t
from_sockaddr (const struct sockaddr_in *sockaddr)
{
  return (oh_address_t){ .ipv4 = ntohl (sockaddr->sin_addr.s_addr), .port = ntohs (sockaddr->sin_port) };
}

int
oh_udp_open (oh_address_t address, oh_error_t *error)
{
  const struct sockaddr_in sockaddr = to_sockaddr (address);
  const int buffer_bytes = SOCKET_BUFFER_BYTES;
  char text[OH_ADDRESS_TEXT_BYTES];
  int fd;

  fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    goto fail;
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
  if (bind (fd, (const struct sockaddr *)&sockaddr, sizeof sockaddr) != 0)
    goto fail;
  return fd;

fail:
  oh_error_set (error, OH_ERROR_IO, OH_ERROR_CODE_SYSTEM, "cannot open UDP socket on %s: %s",
                oh_address_format (address, text), strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

oh_address_t
oh_udp_local_address (int fd)
{
  struct sockaddr_in sockaddr = { 0 };
  socklen_t length = sizeof sockaddr;

  getsockname (fd, (struct sockaddr *)&sockaddr, &length);
  return from_sockaddr (&sockaddr);
}

bool
oh_udp_report_refusals (int fd)
{
  const int on = 1;

  return setsockopt (fd, IPPROTO_IP, IP_RECVERR, &on, sizeof on) == 0;
}

static bool
is_refusal (struct msghdr *message)
{
  for (struct cmsghdr *header = CMSG_FIRSTHDR (message); header != NULL;
       header = CMSG_NXTHDR (message, header))
    if (header->cmsg_level == IPPROTO_IP && header->cmsg_type == IP_RECVERR)
      {
        const struct sock_extended_err *error = (const struct sock_extended_err *)(void *)CMSG_DATA (header);

        return error->ee_errno == ECONNREFUSED && error->ee_origin == SO_EE_ORIGIN_ICMP;
      }
  return false;
}

unsigned
oh_udp_take_refusals (int fd)
{
  unsigned n_refused = 0;

  for (unsigned i = 0; i < OH_UDP_BATCH_DATAGRAMS; i++)
    {
      char control[CMSG_SPACE (sizeof (struct sock_extended_err) + sizeof (struct sockaddr_in))];
      struct msghdr message = { .msg_control = control, .msg_controllen = sizeof control };

      if (recvmsg (fd, &message, MSG_ERRQUEUE | MSG_DONTWAIT) < 0)
        break;
      n_refused += is_refusal (&message);
    }
  return n_refused;
}

bool
oh_udp_send (int fd, oh_address_t to, const void *bytes, size_t length)
{
  const struct sockaddr_in sockaddr = to_sockaddr (to);
  ssize_t sent = sendto (fd, bytes, length, 0, (const struct sockaddr *)&sockaddr, sizeof sockaddr);

  /* The refusal of an earlier datagram, which the call reports and clears instead of sending this one. */
  if (sent < 0 && errno == ECONNREFUSED)
    sent = sendto (fd, bytes, length, 0, (const struct sockaddr *)&sockaddr, sizeof sockaddr);
  return sent == (ssize_t)length;
}

ssize_t
oh_udp_receive (int fd, oh_address_t *from, void *buffer, size_t capacity)
{
  struct sockaddr_in sockaddr = { 0 };
  socklen_t sockaddr_length = sizeof sockaddr;
  ssize_t length;

  do
    length = recvfrom (fd, buffer, capacity, MSG_TRUNC, (struct sockaddr *)&sockaddr, &sockaddr_length);
  while (length < 0 && errno == EINTR);
  if (length >= 0 && from != NULL)
    *from = from_sockaddr (&sockaddr);
  return length;
}

void
oh_udp_receive_batch (int fd, oh_udp_receive_callback_t callback, void *data)
{
  uint8_t buffer[OH_UDP_MAX_BYTES];

  for (unsigned i = 0; i < OH_UDP_BATCH_DATAGRAMS; i++)
    {
      const ssize_t length = oh_udp_receive (fd, NULL, buffer, sizeof buffer);

      if (length < 0)
        return;
      /* The length of a truncated datagram exceeds the buffer. */
      if ((size_t)length <= sizeof buffer)
        callback (data, buffer, (size_t)length);
    }
}
