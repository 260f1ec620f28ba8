/**
 * @file peernet.c
 * Listener, and one link for each pair of instances.
 */
#include "state/err.h"
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
#define ACCEPT_BATCH     64    /**< connections accepted at once */
#define DIAL_INTERVAL_US 50000 /**< between looks for targets to dial */
#define UNPROVED_MAX     256   /**< connections accepted but not proved */

static int start_events (struct peernet *net);
static void on_accept (evutil_socket_t fd, short what, void *arg);
static void on_dial (evutil_socket_t fd, short what, void *arg);
static void on_up (void *user, struct peerlink *link);
static void on_message (void *user, struct peerlink *link,
                        const struct message *message);
static void on_down (void *user, struct peerlink *link, int error);
static struct peernet_slot *slot_of (const struct peernet *net,
                                     const struct peerlink *link);
static void slot_free (struct peernet *net, struct peernet_slot *slot);
static bool replaces (const struct peernet *net,
                      const struct peernet_slot *slot,
                      const struct peernet_slot *old, uint64_t peer_id);
static uint64_t dialer (const struct peernet *net,
                        const struct peernet_slot *slot, uint64_t peer_id);
static void tell_addresses (struct peernet *net,
                            const struct peernet_slot *slot);
static void take_addresses (struct peernet *net,
                            const struct message_addresses *addresses);
static size_t unproved (const struct peernet *net);
static void note_address (struct peernet *net,
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
    sock_local (net->fd, net->config.self.address,
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

  while (net->slots != NULL)
    slot_free (net, net->slots);
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
  struct peernet_slot *slot = NULL;

  HASH_FIND (hh, net->peers, &instance_id, sizeof instance_id, slot);
  return slot != NULL ? peerlink_send (slot->link, message) : ERR_NOT_FOUND;
}

const char *
peernet_address (const struct peernet *net)
{
  return net->config.self.address;
}

size_t
peernet_links (const struct peernet *net)
{
  return HASH_COUNT (net->peers);
}

struct peerlink_counters *
peernet_counters (struct peernet *net)
{
  return &net->counters;
}

struct peernet_slot *
peernet_slot_new (struct peernet *net, int fd, struct peernet_target *target)
{
  struct peernet_slot *slot = calloc (1, sizeof *slot);

  if (slot == NULL)
    {
      close (fd);
      return NULL;
    }
  slot->target = target;
  slot->link = peerlink_open (&net->link_config, fd, target != NULL);
  if (slot->link == NULL)
    {
      free (slot);
      return NULL;
    }
  DL_APPEND (net->slots, slot);
  return slot;
}

static int
start_events (struct peernet *net)
{
  const struct timeval interval = { 0, DIAL_INTERVAL_US };

  if (RAND_bytes ((unsigned char *)&net->random, sizeof net->random) != 1)
    return ERR_IO;
  net->random |= 1;
  net->accept_event = event_new (net->config.base, net->fd,
                                 EV_READ | EV_PERSIST, on_accept, net);
  net->dial_event = event_new (net->config.base, -1, EV_PERSIST, on_dial, net);
  if (net->accept_event == NULL || net->dial_event == NULL
      || event_add (net->accept_event, NULL) != 0
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
  cpumeter_enter (&net->counters.cpu);
  for (batch = 0; batch < ACCEPT_BATCH; batch++)
    {
      peer = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (peer < 0)
        break;
      if (unproved (net) >= UNPROVED_MAX)
        close (peer);
      else
        peernet_slot_new (net, peer, NULL);
    }
  cpumeter_leave (&net->counters.cpu);
}

static void
on_dial (evutil_socket_t fd, short what, void *arg)
{
  struct peernet *net = arg;

  (void)fd;
  (void)what;
  cpumeter_enter (&net->counters.cpu);
  peernet_dial_due (net);
  cpumeter_leave (&net->counters.cpu);
}

static void
on_up (void *user, struct peerlink *link)
{
  struct peernet *net = user;
  const struct message_hello *hello = peerlink_hello (link);
  struct peernet_slot *slot = slot_of (net, link);
  struct peernet_slot *old = NULL;
  uint64_t peer_id = catalog_id (hello->instance);

  if (!net->config.offered_only)
    note_address (net, hello);
  if (slot->target != NULL)
    peernet_target_up (slot->target, hello);
  HASH_FIND (hh, net->peers, &peer_id, sizeof peer_id, old);
  if (old != NULL && !replaces (net, slot, old, peer_id))
    {
      slot_free (net, slot);
      return;
    }
  if (old != NULL)
    slot_free (net, old);
  slot->peer_id = peer_id;
  HASH_ADD (hh, net->peers, peer_id, sizeof slot->peer_id, slot);
  net->config.events->up (net->config.user, hello);
  if (!net->config.offered_only)
    tell_addresses (net, slot);
}

static void
on_message (void *user, struct peerlink *link, const struct message *message)
{
  struct peernet *net = user;

  if (message->kind == MESSAGE_ADDRESSES && net->config.offered_only)
    return;
  if (message->kind == MESSAGE_ADDRESSES)
    take_addresses (net, &message->u.addresses);
  else
    net->config.events->message (net->config.user,
                                 catalog_id (peerlink_hello (link)->instance),
                                 message);
}

static void
on_down (void *user, struct peerlink *link, int error)
{
  struct peernet *net = user;
  struct peernet_slot *slot = slot_of (net, link);
  struct peernet_target *target = slot->target;
  uint64_t peer_id = slot->peer_id;

  if (target != NULL && error == ERR_EXISTS)
    target->self = true;
  else if (target != NULL)
    peernet_target_failed (net, target);
  if (peer_id == 0 && error != ERR_EXISTS)
    net->config.events->rejected (
        net->config.user, target != NULL ? target->address : "", error);
  slot_free (net, slot);
  if (peer_id != 0)
    net->config.events->down (net->config.user, peer_id, error);
}

void
peernet_slot_end (struct peernet *net, struct peernet_slot *slot)
{
  uint64_t peer_id = slot->peer_id;

  slot_free (net, slot);
  if (peer_id != 0)
    net->config.events->down (net->config.user, peer_id, ERR_CANCELED);
}

static struct peernet_slot *
slot_of (const struct peernet *net, const struct peerlink *link)
{
  struct peernet_slot *slot = net->slots;

  while (slot->link != link)
    slot = slot->next;
  return slot;
}

static void
slot_free (struct peernet *net, struct peernet_slot *slot)
{
  if (slot->peer_id != 0)
    HASH_DEL (net->peers, slot);
  DL_DELETE (net->slots, slot);
  peerlink_close (slot->link);
  free (slot);
}

/** Both sides choose alike: a new life of the peer, else the link that the
    instance with the lower identifier dialed, else the newer one. */
static bool
replaces (const struct peernet *net, const struct peernet_slot *slot,
          const struct peernet_slot *old, uint64_t peer_id)
{
  const struct message_hello *hello = peerlink_hello (slot->link);
  const struct message_hello *known = peerlink_hello (old->link);
  uint64_t lower = peer_id < catalog_id (net->config.self.instance)
                       ? peer_id
                       : catalog_id (net->config.self.instance);

  if (hello->incarnation != known->incarnation)
    return hello->incarnation > known->incarnation;
  if (dialer (net, slot, peer_id) == dialer (net, old, peer_id))
    return true;
  return dialer (net, slot, peer_id) == lower;
}

static uint64_t
dialer (const struct peernet *net, const struct peernet_slot *slot,
        uint64_t peer_id)
{
  return peerlink_dialed (slot->link) ? catalog_id (net->config.self.instance)
                                      : peer_id;
}

static size_t
unproved (const struct peernet *net)
{
  const struct peernet_slot *slot;
  size_t count = 0;

  for (slot = net->slots; slot != NULL; slot = slot->next)
    if (slot->target == NULL && slot->peer_id == 0)
      count++;
  return count;
}

/** Tells a new peer where others are, a different part of them each time. */
static void
tell_addresses (struct peernet *net, const struct peernet_slot *slot)
{
  char items[PEERNET_HINTS_MAX][CATALOG_ADDRESS_SIZE];
  struct message message
      = { .kind = MESSAGE_ADDRESSES, .u.addresses = { .items = items } };
  size_t *count = &message.u.addresses.count;
  size_t skip = 0;
  const struct peernet_slot *other;

  if (HASH_COUNT (net->peers) > PEERNET_HINTS_MAX)
    skip = net->random % (HASH_COUNT (net->peers) - PEERNET_HINTS_MAX);
  for (other = net->peers; other != NULL && *count < PEERNET_HINTS_MAX;
       other = other->hh.next)
    if (skip > 0)
      skip--;
    else if (other != slot)
      memcpy (items[(*count)++], peerlink_hello (other->link)->address,
              CATALOG_ADDRESS_SIZE);
  if (*count > 0)
    peerlink_send (slot->link, &message);
}

static void
take_addresses (struct peernet *net, const struct message_addresses *addresses)
{
  size_t i;

  for (i = 0; i < addresses->count; i++)
    peernet_hint (net, addresses->items[i]);
}

/** So that a broken link is dialed again, whoever dialed it first. */
static void
note_address (struct peernet *net, const struct message_hello *hello)
{
  struct peernet_target *target = NULL;

  if (peernet_offer (net, hello->address, false) != 0)
    return;
  HASH_FIND_STR (net->targets, hello->address, target);
  if (target != NULL)
    peernet_target_up (target, hello);
}
