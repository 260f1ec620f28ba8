/**
 * @file world.h
 * Simulates a fleet of instances over lossy links, on a manual clock.  Every
 * message is encoded as a frame, which may be delayed, repeated or lost; a
 * seeded random generator decides.  Requests run for a fixed time at upstreams
 * that accept any number of them.
 */
#ifndef TESTS_SUPPORT_WORLD_H
#define TESTS_SUPPORT_WORLD_H

#include "coordination/fleet.h"
#include "protocol/peercodec.h"
#include <stdbool.h>
#include <stdint.h>

#define WORLD_NODES       3
#define WORLD_UPSTREAMS   3
#define WORLD_SLOTS       4   /**< of each upstream */
#define WORLD_INTERVAL_MS 100 /**< between exchanges */
#define WORLD_LEASE_MS    1000
#define WORLD_REQUESTS    4096       /**< most requests running at once */
#define WORLD_FRAMES      8192       /**< most frames in flight at once */
#define WORLD_MS          1000000ULL /**< nanoseconds in a millisecond */

struct world_node
{
  struct world *sim;
  uint32_t number;
  char name[CATALOG_NAME_SIZE];
  uint64_t incarnation;
  struct catalog catalog;
  struct slots slots;
  struct ledger *ledger;
  struct dispatch *dispatch;
  struct fleet *fleet; /**< NULL while the instance is stopped */
  uint32_t completed;
};

struct world_run
{
  uint32_t instance;
  uint64_t upstream_id;
  uint64_t id;
  uint32_t attempt;
  uint64_t end_ms;
};

struct world_frame
{
  uint32_t from;
  uint32_t to;
  uint64_t due_ms;
  struct peercodec_buffer buffer;
};

struct world
{
  struct world_node nodes[WORLD_NODES];
  struct world_run requests[WORLD_REQUESTS];
  uint32_t request_count;
  struct world_frame frames[WORLD_FRAMES];
  uint32_t frame_count;
  bool cut[WORLD_NODES][WORLD_NODES]; /**< [from][to] */
  uint32_t delay_ms_max; /**< largest delay of a frame; at least 1 */
  uint32_t lost_percent;
  uint32_t twice_percent;
  uint32_t service_ms; /**< duration of a request */
  /** Number of clients, by instance and customer; each keeps one request open.
   */
  uint32_t clients[WORLD_NODES][2];
  uint64_t next_request;
  uint64_t now_ms;
  uint32_t seed;
  uint32_t over; /**< most requests beyond the slots of an upstream */
};

/** Starts all instances and connects them to each other. */
void world_init (struct world *sim, uint32_t seed);
void world_finish (struct world *sim);
void world_run_ms (struct world *sim, uint32_t duration_ms);
/** Stops an instance at once, with its requests in flight. */
void world_kill (struct world *sim, uint32_t instance);
/** Starts an instance without earlier state, as a new incarnation. */
void world_start (struct world *sim, uint32_t instance);
/** Removes the clients of an instance and lets it drain. */
void world_drain (struct world *sim, uint32_t instance);
/** Connects two instances again. */
void world_join (struct world *sim, uint32_t a, uint32_t b);
/** Cuts or restores both directions of the links between an instance and all
    others. */
void world_isolate (struct world *sim, uint32_t instance, bool cut);

/** Requests in flight of an instance. */
uint32_t world_busy (const struct world *sim, uint32_t instance);
/** Slots that an instance may use now. */
uint32_t world_capacity (const struct world *sim, uint32_t instance);
/** Ledger position of a customer (0 or 1) at an instance. */
uint64_t world_position (const struct world *sim, uint32_t instance,
                         uint32_t customer);

#endif
