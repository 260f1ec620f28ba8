/**
 * @file world.h
 * A fleet of instances over a fake link, on a manual clock: every message is
 * a copy that arrives after a seeded delay, late, twice or never.  Requests
 * run for a fixed time at upstreams that admit whatever comes.
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
#define WORLD_REQUESTS    4096       /**< running at once, at most */
#define WORLD_FRAMES      8192       /**< on their way at once, at most */
#define WORLD_MS          1000000ULL /**< nanoseconds */

struct world_node
{
  struct world *world;
  uint32_t number;
  char name[CATALOG_NAME_SIZE];
  uint64_t incarnation;
  struct catalog catalog;
  struct slots slots;
  struct ledger *ledger;
  struct dispatch *dispatch;
  struct fleet *fleet; /**< NULL while it is down */
  uint32_t completed;
};

struct world_run
{
  uint32_t node;
  uint64_t upstream_id;
  uint64_t request;
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
  struct world_run runs[WORLD_REQUESTS];
  uint32_t run_count;
  struct world_frame frames[WORLD_FRAMES];
  uint32_t frame_count;
  bool cut[WORLD_NODES][WORLD_NODES]; /**< [from][to] */
  uint32_t delay_ms_max;              /**< of a frame; 1 at least */
  uint32_t lost_percent;
  uint32_t twice_percent;
  uint32_t service_ms;              /**< time that a request runs */
  uint32_t clients[WORLD_NODES][2]; /**< closed loops: node, customer */
  uint64_t next_request;
  uint64_t now_ms;
  uint32_t seed;
  uint32_t over; /**< most requests at one upstream beyond its slots */
};

/** Starts all nodes, linked to each other. */
void world_init (struct world *world, uint32_t seed);
void world_finish (struct world *world);
void world_run_ms (struct world *world, uint32_t duration_ms);
/** Ends a node at once, its requests in flight too. */
void world_kill (struct world *world, uint32_t node);
/** Starts a node cold, as a new incarnation. */
void world_start (struct world *world, uint32_t node);
/** Takes no more requests, and ends once those accepted are done. */
void world_drain (struct world *world, uint32_t node);
/** Brings the link of two nodes up anew. */
void world_join (struct world *world, uint32_t a, uint32_t b);
/** Cuts or mends both ways between a node and all others. */
void world_isolate (struct world *world, uint32_t node, bool cut);

/** Requests in flight of a node. */
uint32_t world_busy (const struct world *world, uint32_t node);
/** Slots that a node may use now. */
uint32_t world_capacity (const struct world *world, uint32_t node);
/** Ledger position of a customer (0 or 1) as a node sees it. */
uint64_t world_position (const struct world *world, uint32_t node,
                         uint32_t customer);

#endif
