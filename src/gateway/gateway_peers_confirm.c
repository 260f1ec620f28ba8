/**
 * @file gateway_peers_confirm.c
 * How current this instance's knowledge of the others is.  A report answers
 * one that its receiver has sent, so it follows, on the same link, whatever
 * its sender knew when that arrived.  The time of a report's arrival would not
 * do: it may have waited in a socket while an instance stood still, or on its
 * way while a network was cut.
 */
#include "gateway/gateway_peers_int.h"

/* An instance that has answered nothing for this long has ended or is out of
   reach: ten reports between hubs. */
#define SILENT_MS 1000
static uint64_t hub_confirmed_ns (const struct gateway_peers *peers);
static uint64_t subscriber_confirmed_ns (const struct gateway_peers *peers);
static const struct gateway_peer *
answering_hub (const struct gateway_peers *peers,
               const struct gateway_peers_member *member, uint64_t now_ns);
static bool is_silent (const struct gateway_peer *peer, uint64_t now_ns);
static bool all_hubs_answer (const struct gateway_peers *peers,
                             uint64_t now_ns);
static uint64_t store_confirmed_ns (const struct gateway_peers *peers);
static uint64_t newest_answered_ms (const struct gateway_peer *peer,
                                    uint64_t until_ns);

void
gateway_peers_confirm_reset (struct gateway_peer *peer)
{
  peer->stamp_count = 0;
  peer->confirmed_ns = 0;
}

void
gateway_peers_confirm_receive (struct gateway_peers *peers,
                               struct gateway_peer *peer,
                               const struct message_load *load)
{
  uint64_t now_ns = gateway_now_ns (peers->gateway);
  uint64_t answered_ns;

  if (load->sent_ms == 0)
    {
      /* An instance of a version that states no times. */
      peer->confirmed_ns = now_ns;
      return;
    }
  peer->stamps[peer->stamp_count++ % GATEWAY_PEERS_STAMPS]
      = (struct gateway_peers_stamp){ .sent_ms = load->sent_ms,
                                      .received_ns = now_ns };
  if (peer->subscribed)
    peers->asked = peers->asked || load->asks;
  else
    peers->asked_by_hub = peers->asked_by_hub || load->asks;
  if (load->echo_ms == 0)
    return;
  answered_ns = peers->start_ns + (load->echo_ms - 1) * CLOCK_NS_PER_MS;
  if (answered_ns <= now_ns && answered_ns > peer->confirmed_ns)
    peer->confirmed_ns = answered_ns;
}

/* Hubs report to each other less often than to their subscribers, except while
   streams wait for an answer. */
bool
gateway_peers_confirm_begin (struct gateway_peers *peers, bool to_hubs)
{
  to_hubs = to_hubs || peers->asked || peers->asked_by_hub
            || peers->gateway->streams_awaited;
  peers->asks = peers->asked || peers->gateway->streams_awaited;
  peers->asked = peers->asked_by_hub = false;
  if (peers->hub && peers->asks
      && !all_hubs_answer (peers, gateway_now_ns (peers->gateway)))
    store_watch_confirm (&peers->gateway->upstream_watch);
  peers->confirmed_ns = gateway_peers_confirmed_ns (peers->gateway);
  return to_hubs;
}

/* A hub passes on what it hears of others, so it answers its subscribers only
   up to what the others have confirmed to it. */
void
gateway_peers_confirm_send (const struct gateway_peers *peers,
                            const struct gateway_peer *peer,
                            struct message_load *load)
{
  uint64_t now_ns = gateway_now_ns (peers->gateway);

  load->sent_ms = (now_ns - peers->start_ns) / CLOCK_NS_PER_MS + 1;
  load->echo_ms = newest_answered_ms (
      peer, peer->subscribed ? peers->confirmed_ns : now_ns);
  load->asks = peers->asks && !peer->subscribed;
}

static uint64_t
newest_answered_ms (const struct gateway_peer *peer, uint64_t until_ns)
{
  const struct gateway_peers_stamp *stamp;
  uint64_t i;

  for (i = peer->stamp_count;
       i > 0 && i + GATEWAY_PEERS_STAMPS > peer->stamp_count; i--)
    {
      stamp = &peer->stamps[(i - 1) % GATEWAY_PEERS_STAMPS];
      if (stamp->received_ns <= until_ns)
        return stamp->sent_ms;
    }
  return 0;
}

uint64_t
gateway_peers_confirmed_ns (const struct gateway *gateway)
{
  const struct gateway_peers *peers = gateway->peers;

  if (!peers->members_listed)
    return 0;
  return peers->hub ? hub_confirmed_ns (peers)
                    : subscriber_confirmed_ns (peers);
}

/* Hubs that have ended do not answer.  They, or some that are out of reach,
   are left out if another one answers and the store does: upstreams that those
   had seen when the store answered are known here then. */
static uint64_t
hub_confirmed_ns (const struct gateway_peers *peers)
{
  const struct gateway_peers_member *member;
  const struct gateway_peer *peer;
  const uint64_t now_ns = gateway_now_ns (peers->gateway);
  uint64_t oldest_ns = now_ns;
  uint64_t store_ns;
  bool one_answers = false;

  for (member = peers->members; member != NULL; member = member->hh.next)
    {
      peer = answering_hub (peers, member, now_ns);
      if (peer == NULL)
        continue;
      one_answers = true;
      if (peer->confirmed_ns < oldest_ns)
        oldest_ns = peer->confirmed_ns;
    }
  if (all_hubs_answer (peers, now_ns))
    return oldest_ns;
  store_ns = one_answers ? store_confirmed_ns (peers) : 0;
  return store_ns < oldest_ns ? store_ns : oldest_ns;
}

static bool
all_hubs_answer (const struct gateway_peers *peers, uint64_t now_ns)
{
  const struct gateway_peers_member *member;

  for (member = peers->members; member != NULL; member = member->hh.next)
    if (member->id != peers->self_id && member->hub
        && answering_hub (peers, member, now_ns) == NULL)
      return false;
  return true;
}

/* NULL for a member that is no other hub, or does not answer. */
static const struct gateway_peer *
answering_hub (const struct gateway_peers *peers,
               const struct gateway_peers_member *member, uint64_t now_ns)
{
  const struct gateway_peer *peer
      = member->id == peers->self_id || !member->hub
            ? NULL
            : gateway_peers_find (peers, member->id);

  return peer == NULL || is_silent (peer, now_ns) ? NULL : peer;
}

/* Only the hub that gets this instance's reports can answer them. */
static uint64_t
subscriber_confirmed_ns (const struct gateway_peers *peers)
{
  const struct gateway_peer *hub = gateway_peers_report_hub (peers);

  return hub != NULL && gateway_peers_knows_hub (peers, hub->instance_id)
             ? hub->confirmed_ns
             : 0;
}

static bool
is_silent (const struct gateway_peer *peer, uint64_t now_ns)
{
  return now_ns - peer->confirmed_ns > SILENT_MS * CLOCK_NS_PER_MS;
}

static uint64_t
store_confirmed_ns (const struct gateway_peers *peers)
{
  const struct store_watch *watch = &peers->gateway->upstream_watch;

  return store_watch_current (watch) && !peers->store_lags
             ? watch->confirmed_ns
             : 0;
}
