/**
 * @file fakefleet.h
 * Runs the dispatcher, ledger, slots and fleet of several instances in one
 * process, connected by simulated links, on a simulated clock.  Customers keep
 * a set number of requests outstanding; an upstream is a timer per request.
 */
#ifndef TESTS_SUPPORT_FAKEFLEET_H
#define TESTS_SUPPORT_FAKEFLEET_H

#include "coordination/fleet.h"
#include "state/rng.h"

#define FAKEFLEET_INSTANCES_MAX 8
#define FAKEFLEET_CUSTOMERS_MAX 16
#define FAKEFLEET_UPSTREAMS_MAX 8
#define FAKEFLEET_INTERVAL_MS   100
#define FAKEFLEET_LEASE_MS      1000
#define FAKEFLEET_PAYBACK       10000000 /**< default of the settings */
#define FAKEFLEET_INPUT_TOKENS  50
#define FAKEFLEET_TOKEN_COST    2 /**< cost units of an output token */
/** A size is reduced by up to 1 / FAKEFLEET_JITTER_DIVISOR. */
#define FAKEFLEET_JITTER_DIVISOR 5

struct fakefleet_customer
{
  uint32_t weight;
  uint32_t instance_mask; /**< bit mask of the instances that it uses */
  uint32_t outstanding;   /**< requests kept open at each of them; 0: idle */
  uint32_t output_tokens; /**< one per ms by default */
  /** Output tokens of every second request; 0: as output_tokens. */
  uint32_t second_output_tokens;
  uint32_t cost_estimate; /**< configured cost_hint; 0: the actual cost */
  /** Length of alternating busy and idle phases; 0: always busy. */
  uint32_t busy_idle_ms;
};

struct fakefleet_config
{
  uint32_t instance_count;
  uint32_t upstream_count;
  uint32_t slots; /**< of each upstream */
  uint32_t customer_count;
  const struct fakefleet_customer *customers;
  const struct share_policy *policy;
  uint32_t loss_percent;   /**< part of the messages that is lost */
  uint32_t repeat_percent; /**< part that is delivered twice */
  uint32_t delay_ms;       /**< longest delay of a message beyond 1 ms */
  uint64_t seed;
};

struct fakefleet_instance
{
  struct fakefleet *sim;
  uint32_t index;
  uint64_t id;
  uint64_t incarnation;
  struct ledger *ledger;
  struct slots slots;
  struct dispatch *dispatch;
  struct fleet *fleet;
  struct dispatch_actions actions;
  bool up;
  bool paused;
};

struct fakefleet
{
  struct fakefleet_config config;
  struct fakefleet_customer customers[FAKEFLEET_CUSTOMERS_MAX];
  struct catalog catalog;
  struct catalog_upstream upstreams[FAKEFLEET_UPSTREAMS_MAX];
  uint32_t ms_per_token[FAKEFLEET_UPSTREAMS_MAX];
  struct fakefleet_instance instances[FAKEFLEET_INSTANCES_MAX];
  /** [from][to] */
  bool cut[FAKEFLEET_INSTANCES_MAX][FAKEFLEET_INSTANCES_MAX];
  struct rng rng;
  uint64_t now_ns;
  uint32_t outstanding[FAKEFLEET_CUSTOMERS_MAX][FAKEFLEET_INSTANCES_MAX];
  struct fakefleet_request *requests; /**< indexed by handle - 1 */
  size_t request_count;
  struct fakefleet_attempt *attempts;
  size_t attempt_count;
  struct fakefleet_message *messages;
  size_t message_count;
  /** Cost units of completed requests, since the start. */
  uint64_t completed_cost[FAKEFLEET_CUSTOMERS_MAX];
  /* Measured since the last call of fakefleet_reset_measurements. */
  /** Cost units / weight. */
  double normalised_service[FAKEFLEET_CUSTOMERS_MAX];
  /** Smallest and largest difference between the normalised service of two
      customers. */
  double gap_min[FAKEFLEET_CUSTOMERS_MAX][FAKEFLEET_CUSTOMERS_MAX];
  double gap_max[FAKEFLEET_CUSTOMERS_MAX][FAKEFLEET_CUSTOMERS_MAX];
  /** Last time that a request started or none was waiting. */
  uint64_t last_service_ns[FAKEFLEET_CUSTOMERS_MAX];
  uint64_t longest_wait_ns[FAKEFLEET_CUSTOMERS_MAX];
  uint64_t available_slot_ms; /**< slots times ms while any request waited */
  uint64_t busy_slot_ms;      /**< the part of available_slot_ms in use */
  uint32_t oversubscribed;    /**< most requests beyond an upstream's slots */
  uint32_t refused;
};

struct fakefleet *fakefleet_new (const struct fakefleet_config *config);
void fakefleet_free (struct fakefleet *sim);
void fakefleet_run (struct fakefleet *sim, uint32_t ms);
/** Resets the measurements. */
void fakefleet_reset_measurements (struct fakefleet *sim);
/** Largest change of the difference between the normalised service of two
    customers that are always busy. */
double fakefleet_service_gap (const struct fakefleet *sim);
/** Part of the slots in use while any request waited; 1 when none did. */
double fakefleet_utilisation (const struct fakefleet *sim);

void fakefleet_kill (struct fakefleet *sim, uint32_t instance);
void fakefleet_start (struct fakefleet *sim, uint32_t instance);
/** Cuts or restores the link from one instance to another. */
void fakefleet_set_link_cut (struct fakefleet *sim, uint32_t from, uint32_t to,
                             bool cut);
/** Applies the first `upstream_count` of `upstreams` as the configuration of
    the service. */
void fakefleet_configure (struct fakefleet *sim, uint32_t upstream_count);
/** Slots of an upstream that instances may use or still use. */
uint32_t fakefleet_capacity (const struct fakefleet *sim, uint32_t upstream);
/** Cost charged to a customer in the ledger of an instance. */
uint64_t fakefleet_ledger_cost (const struct fakefleet *sim, uint32_t instance,
                                uint32_t customer);
/** Slots in use by one instance. */
uint32_t fakefleet_busy (const struct fakefleet *sim, uint32_t instance);

#endif
