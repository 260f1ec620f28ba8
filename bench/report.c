/**
 * @file report.c
 * Prints the results of a run: one `key value` per line, and on request a
 * table of customers.
 */
#include "load.h"
#include "sample.h"
#include <inttypes.h>
#include <stdio.h>

static void print_outcomes (const struct load *load);
static void print_latencies (const struct load *load);
static void print_fairness (struct load *load);
static void print_customers (const struct load *load);
static void print_table (struct load *load);
static void print_table_row (struct load *load, struct flow_customer *customer,
                             double total);
static double customer_service (const struct load *load,
                                const struct flow_customer *customer);
static bool run_passed (const struct load *load,
                        const struct verify_result *verified);
static uint64_t outcome_total (const struct load *load,
                               enum flow_outcome outcome);
static uint64_t ticks_for_tokens (const struct load *load, uint64_t tokens);

int
report_print (struct load *load)
{
  struct verify_result verified = { 0 };

  if (!load->options.no_verify)
    verify_run (&load->verify, load->base, load->options.control_addresses,
                &verified);
  if (load->options.table)
    print_table (load);
  print_outcomes (load);
  print_latencies (load);
  if (load->options.control_addresses[FLOW_ENGINE] != NULL)
    {
      print_fairness (load);
      print_customers (load);
    }
  printf ("verified %" PRIu64 "\nverified_repeated %" PRIu64
          "\nverified_untrue_not_run %" PRIu64
          "\nverified_unaccounted %" PRIu64 "\n",
          verified.checked, verified.repeated, verified.false_not_run,
          verified.never_run);
  return run_passed (load, &verified) ? 0 : -1;
}

void
report_print_bound (const struct load *load)
{
  printf ("gap_bound %" PRIu64 "\n", report_gap_bound (load));
  printf ("largest_cost %" PRIu64 "\n", report_largest_cost (load));
  printf ("fair_turn_ms %" PRIu64 "\n", report_fair_turn_ms (load));
  fflush (stdout);
}

uint64_t
report_largest_cost (const struct load *load)
{
  uint64_t largest = 0;
  uint64_t cost;
  uint32_t i;

  for (i = 0; i < load->flow_count; i++)
    {
      cost
          = load->flows[i].kind != FLOW_ENGINE
                ? 0
                : flow_largest_cost (&load->flows[i], load->options.input_cost,
                                     load->options.output_cost);
      if (cost > largest)
        largest = cost;
    }
  return largest;
}

uint64_t
report_gap_bound (const struct load *load)
{
  const struct load_options *options = &load->options;
  double rate = 0; /* highest of one slot, in cost units per second */
  uint32_t i;

  for (i = 0; i < load->flow_count; i++)
    {
      const struct flow *flow = &load->flows[i];
      double cost;

      if (flow->kind != FLOW_ENGINE)
        continue;
      cost = (double)flow_largest_cost (flow, options->input_cost,
                                        options->output_cost)
             / ((double)ticks_for_tokens (load, flow->output_max)
                * options->token_ms / 1000);
      if (cost > rate)
        rate = cost;
    }
  return 2 * (uint64_t)options->slots * report_largest_cost (load)
         + (uint64_t)(rate * options->slots * options->exchange_ms / 1000);
}

uint64_t
report_fair_turn_ms (const struct load *load)
{
  uint64_t longest = 0;
  uint32_t i;

  for (i = 0; i < load->flow_count; i++)
    {
      const struct flow *flow = &load->flows[i];
      uint64_t tokens = flow->output_max;

      if (flow->long_permille > 0 && flow->long_tokens > tokens)
        tokens = flow->long_tokens;
      if (flow->kind == FLOW_ENGINE && tokens > longest)
        longest = tokens;
    }
  return ticks_for_tokens (load, longest) * load->options.token_ms;
}

static uint64_t
ticks_for_tokens (const struct load *load, uint64_t tokens)
{
  uint32_t tokens_per_tick = load->options.tokens_per_tick;

  return (tokens + tokens_per_tick - 1) / tokens_per_tick;
}

static void
print_outcomes (const struct load *load)
{
  uint64_t sent = 0;
  uint64_t lost_with_router = 0;
  uint32_t i;
  int outcome;

  for (i = 0; i < load->customer_count; i++)
    {
      sent += load->customers[i].sent;
      lost_with_router += load->customers[i].lost_with_router;
    }
  printf ("sent %" PRIu64 "\n", sent);
  for (outcome = 0; outcome < FLOW_OUTCOME_MAX; outcome++)
    printf ("%s %" PRIu64 "\n", flow_outcome_name ((enum flow_outcome)outcome),
            outcome_total (load, (enum flow_outcome)outcome));
  printf ("lost_with_router %" PRIu64 "\n", lost_with_router);
}

static void
print_latencies (const struct load *load)
{
  struct series first;
  struct series total;
  uint32_t i;

  series_init (&first);
  series_init (&total);
  for (i = 0; i < load->customer_count; i++)
    {
      series_append (&first, &load->customers[i].first_byte_us);
      series_append (&total, &load->customers[i].total_us);
    }
  printf ("p50_first_token_ms %.3f\np95_first_token_ms %.3f\n"
          "p99_first_token_ms %.3f\n",
          series_percentile (&first, 500) / 1000.0,
          series_percentile (&first, 950) / 1000.0,
          series_percentile (&first, 990) / 1000.0);
  printf ("p50_total_ms %.3f\np95_total_ms %.3f\np99_total_ms %.3f\n",
          series_percentile (&total, 500) / 1000.0,
          series_percentile (&total, 950) / 1000.0,
          series_percentile (&total, 990) / 1000.0);
  printf ("measured_requests %zu\nmeasured_requests_per_second %.1f\n",
          total.count,
          (double)total.count * 1000
              / (load->options.seconds * 1000.0 - load->options.warmup_ms));
  series_finish (&first);
  series_finish (&total);
}

static void
print_fairness (struct load *load)
{
  struct sample_result result;
  double fair_turn_service; /* of one backlogged customer, in cost units */

  sample_evaluate (load, &result);
  fair_turn_service = result.backlogged_customers == 0
                          ? 0
                          : (double)load->options.slots
                                * (double)report_largest_cost (load)
                                / result.backlogged_customers;
  printf ("gap_worst %.0f\n", result.gap_worst);
  printf ("gap_ratio %.3f\n",
          result.gap_worst / (double)report_gap_bound (load));
  printf ("gap_fair_turns %.3f\n",
          fair_turn_service > 0 ? result.gap_worst / fair_turn_service : 0);
  printf ("gap_settled %.0f\ngap_settled_fair_turns %.3f\n",
          result.gap_settled,
          fair_turn_service > 0 ? result.gap_settled / fair_turn_service : 0);
  printf ("gap_pair %s %s\n", result.gap_customers[0],
          result.gap_customers[1]);
  printf ("gap_interval_ms %" PRIu64 " %" PRIu64 "\n", result.gap_from_ms,
          result.gap_to_ms);
  printf ("utilisation %.4f\n", result.utilisation);
  if (result.utilisation_after_fault >= 0)
    printf ("utilisation_after_fault %.4f\n", result.utilisation_after_fault);
  printf ("contended_seconds %.1f\n", result.contended_s);
  printf ("backlogged_customers %" PRIu32 "\n", result.backlogged_customers);
  printf ("starved_customers %" PRIu32 "\n", result.starved_customers);
  printf ("longest_head_wait_ms %" PRIu64 "\nlongest_head_wait_customer %s\n",
          result.head_wait_ms, result.head_wait_customer);
  printf ("engine_oversubscribed %" PRIu64 "\nengine_cancelled %" PRIu64
          "\nengine_duplicates %" PRIu64 "\nengine_resumed %" PRIu64 "\n",
          sample_stat (load, FLOW_ENGINE, "oversubscribed"),
          sample_stat (load, FLOW_ENGINE, "cancelled"),
          sample_stat (load, FLOW_ENGINE, "duplicates"),
          sample_stat (load, FLOW_ENGINE, "resumed"));
}

/* Prints a line for each customer: weight, service received while the load
   ran divided by the weight, complete responses, and the longest wait of the
   head of a queue. */
static void
print_customers (const struct load *load)
{
  const struct sample_log *log = &load->samples;
  uint32_t i;

  for (i = 0; i < load->customer_count && log->count > 0; i++)
    {
      const struct flow_customer *customer = &load->customers[i];

      if (!customer->has_kind[FLOW_ENGINE])
        continue;
      printf ("customer %s weight %" PRIu32 " normalised_service %" PRIu64
              " whole %" PRIu64 " head_wait_ms %" PRIu64 " at_router %" PRIu32
              "\n",
              customer->name, customer->weight,
              log->samples[log->count - 1].customers[i].cost
                  / customer->weight,
              customer->outcomes[FLOW_COMPLETE],
              load->longest_head_wait_us[i] / 1000,
              load->longest_head_wait_router[i]);
    }
}

static void
print_table (struct load *load)
{
  double total = 0;
  uint32_t i;

  for (i = 0; i < load->customer_count; i++)
    total += customer_service (load, &load->customers[i]);
  printf ("%-16s %6s %8s %8s %8s %10s %7s %9s %9s\n", "customer", "weight",
          "sent", "answered", "refused", "service", "share", "p50 ms",
          "p95 ms");
  for (i = 0; i < load->customer_count; i++)
    print_table_row (load, &load->customers[i], total);
}

static void
print_table_row (struct load *load, struct flow_customer *customer,
                 double total)
{
  double service = customer_service (load, customer);
  uint64_t refused = customer->outcomes[FLOW_REFUSED_NOT_RUN]
                     + customer->outcomes[FLOW_REFUSED_MAY_HAVE_RUN]
                     + customer->outcomes[FLOW_REFUSED_RAN]
                     + customer->outcomes[FLOW_REFUSED_NO_VERDICT];

  printf ("%-16s %6" PRIu32 " %8" PRIu64 " %8" PRIu64 " %8" PRIu64
          " %10.0f %6.1f%% %9.1f %9.1f\n",
          customer->name, customer->weight, customer->sent,
          customer->outcomes[FLOW_COMPLETE], refused, service,
          total > 0 ? 100 * service / total : 0,
          series_percentile (&customer->total_us, 500) / 1000.0,
          series_percentile (&customer->total_us, 950) / 1000.0);
}

/* Cost units at engines plus milliseconds of slot time at plain services. */
static double
customer_service (const struct load *load,
                  const struct flow_customer *customer)
{
  return (double)sample_customer_stat (load, FLOW_ENGINE, customer->name,
                                       "cost")
         + (double)sample_customer_stat (load, FLOW_PLAIN, customer->name,
                                         "cost");
}

static bool
run_passed (const struct load *load, const struct verify_result *verified)
{
  return outcome_total (load, FLOW_TRUNCATED) == 0
         && outcome_total (load, FLOW_NO_RESPONSE) == 0
         && outcome_total (load, FLOW_MISMATCHED) == 0
         && outcome_total (load, FLOW_REFUSED_NO_VERDICT) == 0
         && outcome_total (load, FLOW_COMPLETE) > 0 && verified->repeated == 0
         && verified->false_not_run == 0 && verified->never_run == 0
         && verified->failed_queries == 0;
}

static uint64_t
outcome_total (const struct load *load, enum flow_outcome outcome)
{
  uint64_t total = 0;
  uint32_t i;

  for (i = 0; i < load->customer_count; i++)
    total += load->customers[i].outcomes[outcome];
  return total;
}
