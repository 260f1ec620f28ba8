/**
 * @file turnaway.c
 * Responses to connections that are not read.
 */
#include "transport/turnaway.h"
#include "transport/request_end.h"
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOK_NS    (TURNAWAY_LOOK_MS * CLOCK_NS_PER_MS)
#define READING_NS (TURNAWAY_READING_MS * CLOCK_NS_PER_MS)
#define LINGER_NS  (TURNAWAY_LINGER_MS * CLOCK_NS_PER_MS)
#define SENDING_NS (TURNAWAY_SENDING_MS * CLOCK_NS_PER_MS)

/* Bound what is read at once of a request that is discarded. */
#define REQUEST_BYTES 65536
#define DISCARD_BYTES 16384
#define DISCARD_READS 8

#define INPUT_ENDED (-1) /* the client has left */

static void answer (struct turnaway *turnaway, evutil_socket_t fd,
                    const void *text, size_t size, uint64_t now_ns);
static uint64_t pass_ns (uint64_t rest_ns);
static bool make_room (struct turnaway *turnaway, size_t *looks);
static void look (struct turnaway *turnaway, uint64_t now_ns, bool full);
static void append (struct turnaway *turnaway,
                    const struct turnaway_socket *socket);
static struct turnaway_socket take_first (struct turnaway *turnaway);
static void count_input (struct turnaway_socket *socket, uint64_t bytes);
static ssize_t discard_input (evutil_socket_t fd);

void
turnaway_init (struct turnaway *turnaway, const struct clock *clock)
{
  memset (turnaway, 0, sizeof *turnaway);
  turnaway->clock = clock;
  turnaway->sockets_max = TURNAWAY_SOCKETS_MAX;
}

void
turnaway_finish (struct turnaway *turnaway)
{
  evutil_socket_t fd;

  while (turnaway->count > 0)
    {
      fd = take_first (turnaway).fd;
      discard_input (fd);
      close (fd);
    }
}

void
turnaway_close (struct turnaway *turnaway)
{
  uint64_t now_ns = clock_now_ns (turnaway->clock);
  const uint64_t length_ns = pass_ns (now_ns - turnaway->rest_ns);
  /* The other half is for connections that wait. */
  const uint64_t end_ns = now_ns + length_ns / 2;

  turnaway->pass_end_ns = now_ns + length_ns;
  while (turnaway->count > 0 && now_ns < end_ns
         && turnaway->sockets[turnaway->first].look_ns <= now_ns)
    {
      look (turnaway, now_ns, false);
      now_ns = clock_now_ns (turnaway->clock);
    }
  turnaway->rest_ns = now_ns;
}

static uint64_t
pass_ns (uint64_t rest_ns)
{
  if (rest_ns < TURNAWAY_PASS_MIN_MS * CLOCK_NS_PER_MS)
    return TURNAWAY_PASS_MIN_MS * CLOCK_NS_PER_MS;
  if (rest_ns > TURNAWAY_PASS_MAX_MS * CLOCK_NS_PER_MS)
    return TURNAWAY_PASS_MAX_MS * CLOCK_NS_PER_MS;
  return rest_ns;
}

size_t
turnaway_waiting (struct turnaway *turnaway, evutil_socket_t listener,
                  struct evbuffer *response, bool *none_waits)
{
  const size_t size = evbuffer_get_length (response);
  const unsigned char *text = evbuffer_pullup (response, -1);
  uint64_t now_ns = clock_now_ns (turnaway->clock);
  size_t accepted = 0;
  size_t looks = 0;
  int fd;

  *none_waits = false;
  while (now_ns < turnaway->pass_end_ns && make_room (turnaway, &looks))
    {
      fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        {
          *none_waits = errno == EAGAIN;
          break;
        }
      accepted++;
      answer (turnaway, fd, text, size, now_ns);
      now_ns = clock_now_ns (turnaway->clock);
    }
  turnaway->rest_ns = now_ns;
  return accepted;
}

/* Reads what there is of the request first.  If that is all, nothing follows
   that could reset the connection, and it is closed at once.  Otherwise the
   client leaves when it has sent the rest. */
static void
answer (struct turnaway *turnaway, evutil_socket_t fd, const void *text,
        size_t size, uint64_t now_ns)
{
  struct turnaway_socket socket = {
    .fd = fd,
    .missing = REQUEST_END_UNKNOWN,
    .look_ns = now_ns + LOOK_NS,
    .quiet_ns = now_ns,
    .end_ns = now_ns + SENDING_NS,
  };
  char request[REQUEST_BYTES];
  const ssize_t got = recv (fd, request, sizeof request, MSG_DONTWAIT);
  const bool left = got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);

  if (got > 0)
    {
      socket.sent = true;
      socket.missing = request_end_missing (request, (size_t)got);
    }
  if (left || send (fd, text, size, MSG_NOSIGNAL) != (ssize_t)size
      || socket.missing == 0 || shutdown (fd, SHUT_WR) != 0)
    {
      close (fd);
      turnaway->left++;
      return;
    }
  append (turnaway, &socket);
}

/* Looks at each socket at most once. */
static bool
make_room (struct turnaway *turnaway, size_t *looks)
{
  uint64_t now_ns = 0;

  while (turnaway->count >= turnaway->sockets_max
         && now_ns < turnaway->pass_end_ns && *looks < turnaway->sockets_max)
    {
      now_ns = clock_now_ns (turnaway->clock);
      look (turnaway, now_ns, true);
      ++*looks;
    }
  return turnaway->count < turnaway->sockets_max;
}

/* Looks at the client of the first socket. */
static void
look (struct turnaway *turnaway, uint64_t now_ns, bool full)
{
  struct turnaway_socket socket = take_first (turnaway);
  const ssize_t input = discard_input (socket.fd);
  bool done = input == INPUT_ENDED;
  bool may_be_whole;

  if (input > 0)
    {
      count_input (&socket, (uint64_t)input);
      socket.quiet_ns = now_ns;
      done = socket.missing == 0;
    }
  may_be_whole = socket.sent && socket.missing == REQUEST_END_UNKNOWN;
  if (!done && now_ns < socket.end_ns
      && now_ns - socket.quiet_ns
             < (full && may_be_whole ? READING_NS : LINGER_NS))
    {
      socket.look_ns = now_ns + LOOK_NS;
      append (turnaway, &socket);
      return;
    }
  close (socket.fd);
  if (done)
    turnaway->left++;
  else
    turnaway->expired++;
}

static void
append (struct turnaway *turnaway, const struct turnaway_socket *socket)
{
  turnaway->sockets[(turnaway->first + turnaway->count) % TURNAWAY_SOCKETS_MAX]
      = *socket;
  turnaway->count++;
}

static struct turnaway_socket
take_first (struct turnaway *turnaway)
{
  struct turnaway_socket socket = turnaway->sockets[turnaway->first];

  turnaway->first = (turnaway->first + 1) % TURNAWAY_SOCKETS_MAX;
  turnaway->count--;
  return socket;
}

static void
count_input (struct turnaway_socket *socket, uint64_t bytes)
{
  socket->sent = true;
  if (bytes <= socket->missing && socket->missing != REQUEST_END_UNKNOWN)
    socket->missing -= bytes;
  else
    socket->missing = REQUEST_END_UNKNOWN;
}

/* @return the number of bytes, or INPUT_ENDED. */
static ssize_t
discard_input (evutil_socket_t fd)
{
  char bytes[DISCARD_BYTES];
  ssize_t discarded = 0;
  ssize_t n = sizeof bytes;
  int reads;

  for (reads = 0; n == sizeof bytes && reads < DISCARD_READS; reads++)
    {
      n = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
        return INPUT_ENDED;
      if (n > 0)
        discarded += n;
    }
  return discarded;
}
