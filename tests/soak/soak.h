/**
 * @file soak.h
 * A randomized fault soak of real gateways.  This program is what stands
 * around them: the store, the workers, the clients and the plan of faults,
 * on one loop.  It prints what is to be done to processes and links, one
 * order a line, for soak.sh to do; and it checks from outside, by what clients
 * and workers saw, what must hold at all times.
 */
#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include "state/rng.h"
#include "support/platstore.h"
#include "support/platworker.h"
#include "transport/clock.h"
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#define SOAK_GATEWAYS 4
#define SOAK_WORKERS  4
#define SOAK_CLIENTS  24
#define SOAK_LINKS    (SOAK_GATEWAYS + SOAK_WORKERS) /**< through the relay */
#define SOAK_KEYS_MAX 64                             /**< changes of the key */
#define SOAK_ID_SIZE  24                             /**< bytes */

/* What the users' platform allows, in milliseconds. */
#define SOAK_CONTACT_MS 4000  /**< calm for so long: bounds hold again */
#define SOAK_CONFIG_MS  3000  /**< a change is in force */
#define SOAK_REGRESS_MS 250   /**< older rules may still be seen */
#define SOAK_LEAVE_MS   2000  /**< nothing new to an upstream that leaves */
#define SOAK_CANCEL_MS  500   /**< nothing more for a client that left */
#define SOAK_ROUTE_MS   600   /**< the routes' time, as platscene writes it */
#define SOAK_LATE_MS    500   /**< a final answer beyond it */
#define SOAK_RECOVER_MS 15000 /**< all serve again */
#define SOAK_SERVED_MS  2000  /**< a success of each is no older in the end */
#define SOAK_WINDOW_S   10    /**< of the budget of repeats */
#define SOAK_REPEATS    5     /**< allowed in a window beside the share */
#define SOAK_SHARE      0.02  /**< of the requests; soak.sh sets the same */

enum soak_kind
{
  SOAK_AGAIN,
  SOAK_ONCE,
  SOAK_STREAM,
  SOAK_RESUME,
  SOAK_KIND_MAX
};

/** A promise; each is counted and told apart. */
enum soak_promise
{
  SOAK_OWN_ANSWER, /**< whole, signed, of this request */
  SOAK_AT_MOST_ONCE,
  SOAK_TRUE_REFUSAL,
  SOAK_NO_ANSWER, /**< taken and passed on, then dropped */
  SOAK_LATE_ANSWER,
  SOAK_LATE_CHANGE,
  SOAK_REGRESSION,
  SOAK_DENIAL,
  SOAK_SENT_FOREIGN, /**< a worker got what no client sent, or a key */
  SOAK_SENT_LEAVING,
  SOAK_SENT_GONE,
  SOAK_REPEAT_BUDGET,
  SOAK_UNASKED_BYTES,
  SOAK_NOT_RECOVERED,
  SOAK_PROMISE_MAX
};

struct soak_request
{
  char id[SOAK_ID_SIZE];
  enum soak_kind kind;
  uint32_t gateway;
  uint32_t key; /**< number of the key that it names */
  uint64_t sent_ns;
  uint64_t left_ns;  /**< when its client left; 0: it did not */
  uint32_t arrivals; /**< at workers */
  uint32_t runs;     /**< arrivals that a worker did not reject */
  bool harmed;       /**< a worker broke off or was silent */
  bool refused;      /**< was told that it did not run */
  UT_hash_handle hh;
};

/** Troubles of one thing: bounds in time hold once it has been calm. */
struct soak_trouble
{
  uint32_t ongoing;
  uint64_t last_ns; /**< when one ended last */
};

struct soak_gateway
{
  uint16_t port;
  bool up;
  bool frozen;
  bool leaving;
  uint32_t lifetime;
  uint32_t key_seen; /**< newest key that this lifetime accepted */
  uint64_t key_seen_ns;
  uint64_t restarted_ns;       /**< started, or went on after a stop */
  struct soak_trouble trouble; /**< of its link to the store */
  uint64_t served;
  uint64_t served_ns; /**< last success */
};

struct soak_worker
{
  struct platworker server;
  enum platworker_act act; /**< of its plain requests while in trouble */
  uint32_t permille;       /**< of requests that meet `act` */
  uint64_t leaving_ns;     /**< since when; 0: it does not */
};

struct soak_client
{
  struct platclient link;
  bool open;
  uint32_t gateway;
  uint32_t lifetime;            /**< of the gateway when it connected */
  struct soak_request *request; /**< NULL: idle */
  uint64_t next_ns;             /**< nothing before */
  uint64_t leave_ns;            /**< leaves then; 0: stays */
};

struct soak_second
{
  uint32_t requests;
  uint32_t repeats;
};

struct soak
{
  struct event_base *base;
  struct clock clock;
  struct rng rng;      /**< of clients and workers */
  struct rng plan_rng; /**< apart, so that a seed gives the same faults */
  uint64_t start_ns;
  uint64_t calm_ns; /**< no faults from then on */
  uint64_t end_ns;
  struct platstore store;
  struct soak_trouble store_trouble;
  struct soak_trouble links_trouble; /**< between gateways and workers */
  uint16_t links[SOAK_LINKS];
  struct soak_worker workers[SOAK_WORKERS];
  struct soak_gateway gateways[SOAK_GATEWAYS];
  struct soak_client clients[SOAK_CLIENTS];
  struct soak_request *requests;
  struct soak_second *seconds;
  uint32_t second_count;
  uint32_t key; /**< number of the newest */
  uint64_t key_ns[SOAK_KEYS_MAX];
  uint64_t sent;
  uint64_t answered;
  uint64_t served;
  uint32_t broken[SOAK_PROMISE_MAX];
  struct soak_pending *pending; /**< of the plan */
  uint64_t next_fault_ns;
  bool link_cut[SOAK_LINKS];
};

/* main.c */
uint64_t soak_now (const struct soak *soak);
/** True when `moment` is longer ago than a duration. */
bool soak_past (const struct soak *soak, uint64_t moment_ns,
                uint32_t duration_ms);

/** True when it has been without trouble for long enough. */
bool soak_calm (const struct soak *soak, const struct soak_trouble *trouble);

/* check.c */
/** Counts and tells a broken promise. */
void soak_broken (struct soak *soak, enum soak_promise promise,
                  const struct soak_request *request, const char *what);
void soak_check_arrival (struct platworker *server, const char *text);
/** A whole answer is there, or the connection has ended. */
void soak_check_answer (struct soak *soak, struct soak_client *client);
void soak_check_end (struct soak *soak);
const char *soak_promise_name (enum soak_promise promise);

/* client.c */
void soak_client_run (struct soak *soak, struct soak_client *client);
void soak_client_close (struct soak_client *client);

/* plan.c */
/** Does what is due, and plans the next fault. */
void soak_plan_run (struct soak *soak);
void soak_plan_finish (struct soak *soak);
/** Writes the first configuration, and announces each worker. */
void soak_plan_set_up (struct soak *soak);

#endif
