/**
 * @file peernet.c
 * Listener, and one link to each peer.
 */
#include "state/err.h"
#include "transport/loop.h"
#include "transport/peernet_int.h"
#include "transport/sock.h"
#include <errno.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#define LISTEN_BACKLOG   512
#define ACCEPT_BATCH     64    /**< connections accepted per event */
#define DIAL_INTERVAL_US 50000 /**< between checks for targets to dial */
/* Part of the idle time after which a link on which nothing was sent is kept
   alive: two such times may pass, and the frame takes some of the third. */
#define KEEP_ALIVE_DIVISOR  3
#define UNAUTHENTICATED_MAX 256 /**< accepted connections in handshake */

static int start_events (struct peernet *net);
static void on_accept (evutil_socket_t fd, short what, void *arg);
static void on_dial (evutil_socket_t fd, short what, void *arg);
static void keep_links_alive (struct peernet *net);
static void on_up (void *user, struct peerlink *link);
static void on_message (void *user, struct peerlink *link,
                        const struct message *message);
static void on_down (void *user, struct peerlink *link, int error);
static struct peernet_conn *conn_from_link (const struct peernet *net,
                                            const struct peerlink *link);
static void conn_free (struct peernet *net, struct peernet_conn *conn);
static bool replaces (const struct peernet *net,
                      const struct peernet_conn *conn,
                      const struct peernet_conn *existing, uint64_t peer_id);
static uint64_t dialer_id (const struct peernet *net,
                           const struct peernet_conn *conn, uint64_t peer_id);
static void send_addresses (struct peernet *net,
                            const struct peernet_conn *conn);
static void receive_addresses (struct peernet *net,
                               const struct message_addresses *addresses);
static size_t count_unauthenticated (const struct peernet *net);
static void add_hello_address (struct peernet *net,
                               const struct message_hello *hello);

int
peernet_new (const struct peernet_config *config, struct peernet **out)
{
  struct peernet *net = calloc (1, sizeof *net);
  int rc;

  if (net == NULL)
    return ERR_NO_MEMORY;
  net->config = *config;
  rc = sock_listen (config->listen_address, LISTEN_BACKLOG, &net->fd);
  if (rc != 0)
    {
      free (net);
      return rc;
    }
  if (config->advertised_address != NULL)
    snprintf (net->config.self.address, sizeof net->config.self.address, "%s",
              config->advertised_address);
  else
    sock_local_address (net->fd, net->config.self.address,
                        sizeof net->config.self.address);
  net->link_events = (struct peerlink_events){ on_up, on_message, on_down };
  net->link_config = (struct peerlink_config){
    .base = config->base,
    .self = net->config.self,
    .secret = config->secret,
    .handshake_ms = config->handshake_ms,
    .idle_ms = config->idle_ms,
    .output_bytes_max = PEERLINK_OUTPUT_BYTES_MAX,
    .counters = &net->counters,
    .control = config->control,
    .events = &net->link_events,
    .user = net,
  };
  rc = start_events (net);
  if (rc != 0)
    peernet_free (net);
  else
    *out = net;
  return rc;
}

void
peernet_free (struct peernet *net)
{
  struct peernet_target *target = net->targets;
  struct peernet_target *next;

  while (net->conns != NULL)
    conn_free (net, net->conns);
  HASH_CLEAR (hh, net->targets);
  for (; target != NULL; target = next)
    {
      next = target->hh.next;
      free (target);
    }
  if (net->accept_event != NULL)
    event_free (net->accept_event);
  if (net->dial_event != NULL)
    event_free (net->dial_event);
  close (net->fd);
  free (net);
}

int
peernet_send (struct peernet *net, uint64_t instance_id,
              const struct message *message)
{
  struct peernet_conn *conn = NULL;

  HASH_FIND (hh, net->peers, &instance_id, sizeof instance_id, conn);
  return conn != NULL ? peerlink_send (conn->link, message) : ERR_NOT_FOUND;
}

const char *
peernet_address (const struct peernet *net)
{
  return net->config.self.address;
}

size_t
peernet_link_count (const struct peernet *net)
{
  return HASH_COUNT (net->peers);
}

struct peerlink_counters *
peernet_counters (struct peernet *net)
{
  return &net->counters;
}

struct peernet_conn *
peernet_conn_new (struct peernet *net, int fd, struct peernet_target *target)
{
  struct peernet_conn *conn = calloc (1, sizeof *conn);

  if (conn == NULL)
    {
      close (fd);
      return NULL;
    }
  conn->target = target;
  conn->link = peerlink_open (&net->link_config, fd, target != NULL);
  if (conn->link == NULL)
    {
      free (conn);
      return NULL;
    }
  DL_APPEND (net->conns, conn);
  return conn;
}

static int
start_events (struct peernet *net)
{
  const struct timeval interval = { 0, DIAL_INTERVAL_US };

  if (RAND_bytes ((unsigned char *)&net->jitter_state,
                  sizeof net->jitter_state)
      != 1)
    return ERR_IO;
  net->jitter_state |= 1;
  net->accept_event = event_new (net->config.base, net->fd,
                                 EV_READ | EV_PERSIST, on_accept, net);
  net->dial_event = event_new (net->config.base, -1, EV_PERSIST, on_dial, net);
  if (net->accept_event == NULL || net->dial_event == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (net->accept_event);
  loop_set_control (net->dial_event);
  if (event_add (net->accept_event, NULL) != 0
      || event_add (net->dial_event, &interval) != 0)
    return ERR_NO_MEMORY;
  return 0;
}

static void
on_accept (evutil_socket_t fd, short what, void *arg)
{
  struct peernet *net = arg;
  int batch;
  int peer;

  (void)what;
  loop_control_begin (net->config.control, net->accept_event);
  cpumeter_enter (&net->counters.cpu);
  for (batch = 0; batch < ACCEPT_BATCH; batch++)
    {
      peer = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (peer < 0)
        {
          /* The listener stays ready: traffic would have no turn, and so
             close none of its descriptors. */
          if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
            event_del (net->accept_event);
          break;
        }
      if (count_unauthenticated (net) >= UNAUTHENTICATED_MAX)
        close (peer);
      else
        peernet_conn_new (net, peer, NULL);
    }
  cpumeter_leave (&net->counters.cpu);
  loop_control_end (net->config.control);
}

static void
on_dial (evutil_socket_t fd, short what, void *arg)
{
  struct peernet *net = arg;

  (void)fd;
  (void)what;
  loop_control_begin (net->config.control, net->dial_event);
  cpumeter_enter (&net->counters.cpu);
  if (!event_pending (net->accept_event, EV_READ, NULL))
    event_add (net->accept_event, NULL);
  peernet_dial_due (net);
  keep_links_alive (net);
  cpumeter_leave (&net->counters.cpu);
  loop_control_end (net->config.control);
}

static void
keep_links_alive (struct peernet *net)
{
  uint64_t now_ns = clock_now_ns (net->config.clock);
  const struct peernet_conn *conn;

  /* Rather one check early than one late. */
  if (now_ns - net->keep_alive_ns + DIAL_INTERVAL_US * CLOCK_NS_PER_US
      <= net->config.idle_ms / KEEP_ALIVE_DIVISOR * CLOCK_NS_PER_MS)
    return;
  net->keep_alive_ns = now_ns;
  for (conn = net->conns; conn != NULL; conn = conn->next)
    peerlink_keep_alive (conn->link);
}

static void
on_up (void *user, struct peerlink *link)
{
  struct peernet *net = user;
  const struct message_hello *hello = peerlink_hello (link);
  struct peernet_conn *conn = conn_from_link (net, link);
  struct peernet_conn *existing = NULL;
  uint64_t peer_id = catalog_id (hello->instance);

  if (!net->config.added_addresses_only)
    add_hello_address (net, hello);
  if (conn->target != NULL)
    peernet_target_connected (conn->target, hello);
  HASH_FIND (hh, net->peers, &peer_id, sizeof peer_id, existing);
  if (existing != NULL && !replaces (net, conn, existing, peer_id))
    {
      conn_free (net, conn);
      return;
    }
  if (existing != NULL)
    conn_free (net, existing);
  conn->peer_id = peer_id;
  HASH_ADD (hh, net->peers, peer_id, sizeof conn->peer_id, conn);
  net->config.events->up (net->config.user, hello);
  if (!net->config.added_addresses_only)
    send_addresses (net, conn);
}

static void
on_message (void *user, struct peerlink *link, const struct message *message)
{
  struct peernet *net = user;

  if (message->kind == MESSAGE_ADDRESSES && net->config.added_addresses_only)
    return;
  if (message->kind == MESSAGE_ADDRESSES)
    receive_addresses (net, &message->u.addresses);
  else
    net->config.events->message (net->config.user,
                                 catalog_id (peerlink_hello (link)->instance),
                                 message);
}

static void
on_down (void *user, struct peerlink *link, int error)
{
  struct peernet *net = user;
  struct peernet_conn *conn = conn_from_link (net, link);
  struct peernet_target *target = conn->target;
  uint64_t peer_id = conn->peer_id;

  if (target != NULL && error == ERR_EXISTS)
    target->self = true;
  else if (target != NULL)
    peernet_target_failed (net, target);
  if (peer_id == 0 && error != ERR_EXISTS)
    net->config.events->rejected (
        net->config.user, target != NULL ? target->address : "", error);
  conn_free (net, conn);
  if (peer_id != 0)
    net->config.events->down (net->config.user, peer_id, error);
}

void
peernet_conn_close (struct peernet *net, struct peernet_conn *conn)
{
  uint64_t peer_id = conn->peer_id;

  conn_free (net, conn);
  if (peer_id != 0)
    net->config.events->down (net->config.user, peer_id, ERR_CANCELED);
}

static struct peernet_conn *
conn_from_link (const struct peernet *net, const struct peerlink *link)
{
  struct peernet_conn *conn = net->conns;

  while (conn->link != link)
    conn = conn->next;
  return conn;
}

static void
conn_free (struct peernet *net, struct peernet_conn *conn)
{
  if (conn->peer_id != 0)
    HASH_DEL (net->peers, conn);
  DL_DELETE (net->conns, conn);
  peerlink_close (conn->link);
  free (conn);
}

/** True if a new link to a peer replaces the existing one.  Both sides make
    the same choice: the link with the higher incarnation of the peer, else the
    link dialed by the instance with the lower ID, else the newer link. */
static bool
replaces (const struct peernet *net, const struct peernet_conn *conn,
          const struct peernet_conn *existing, uint64_t peer_id)
{
  const struct message_hello *hello = peerlink_hello (conn->link);
  const struct message_hello *existing_hello = peerlink_hello (existing->link);
  uint64_t lower = peer_id < catalog_id (net->config.self.instance)
                       ? peer_id
                       : catalog_id (net->config.self.instance);

  if (hello->incarnation != existing_hello->incarnation)
    return hello->incarnation > existing_hello->incarnation;
  if (dialer_id (net, conn, peer_id) == dialer_id (net, existing, peer_id))
    return true;
  return dialer_id (net, conn, peer_id) == lower;
}

static uint64_t
dialer_id (const struct peernet *net, const struct peernet_conn *conn,
           uint64_t peer_id)
{
  return peerlink_dialed (conn->link) ? catalog_id (net->config.self.instance)
                                      : peer_id;
}

static size_t
count_unauthenticated (const struct peernet *net)
{
  const struct peernet_conn *conn;
  size_t count = 0;

  for (conn = net->conns; conn != NULL; conn = conn->next)
    if (conn->target == NULL && conn->peer_id == 0)
      count++;
  return count;
}

/** Sends addresses of other peers to a new peer, from a random offset. */
static void
send_addresses (struct peernet *net, const struct peernet_conn *conn)
{
  char items[PEERNET_ADDRESSES_SENT_MAX][CATALOG_ADDRESS_SIZE];
  struct message message
      = { .kind = MESSAGE_ADDRESSES, .u.addresses = { .items = items } };
  size_t *count = &message.u.addresses.count;
  size_t skip = 0;
  const struct peernet_conn *other;

  if (HASH_COUNT (net->peers) > PEERNET_ADDRESSES_SENT_MAX)
    skip = net->jitter_state
           % (HASH_COUNT (net->peers) - PEERNET_ADDRESSES_SENT_MAX);
  for (other = net->peers;
       other != NULL && *count < PEERNET_ADDRESSES_SENT_MAX;
       other = other->hh.next)
    if (skip > 0)
      skip--;
    else if (other != conn)
      memcpy (items[(*count)++], peerlink_hello (other->link)->address,
              CATALOG_ADDRESS_SIZE);
  if (*count > 0)
    peerlink_send (conn->link, &message);
}

static void
receive_addresses (struct peernet *net,
                   const struct message_addresses *addresses)
{
  size_t i;

  for (i = 0; i < addresses->count; i++)
    peernet_add_learned (net, addresses->items[i]);
}

/** Adds the address in the peer's hello, so that a broken link is dialed again
    no matter which side dialed it first. */
static void
add_hello_address (struct peernet *net, const struct message_hello *hello)
{
  struct peernet_target *target = NULL;

  if (peernet_add_address (net, hello->address, false) != 0)
    return;
  HASH_FIND_STR (net->targets, hello->address, target);
  if (target != NULL)
    peernet_target_connected (target, hello);
}
