/* Per-customer limit on the requests that wait for admission at one worker. */
#include "libconnection.h"

enum
{
  QUEUED_MAX = 4,
  SHARE_DENIAL_TTL_MS = 500
};

/* Counts REQ among its customer's requests that wait for admission.
   Returns 1, or 0 if REQ has to be refused before its first attempt: the
   limit is reached and the customer's share was denied within the last
   SHARE_DENIAL_TTL_MS, so that another request for admission would only
   cost messages.  */
int
req_enter_queue (struct req *req, clk_ms now)
{
  struct worker_customer *customer = req_worker_customer (req);

  if (req->is_queued)
    return 1;
  if (req->attempts == 0 && customer->waiting >= QUEUED_MAX
      && now - customer->denied_ms < SHARE_DENIAL_TTL_MS)
    return 0;
  customer->waiting++;
  req->is_queued = 1;
  return 1;
}

/* Removes REQ from its customer's waiting requests, if it is counted
   there.  */
void
req_leave_queue (struct req *req)
{
  if (req->is_queued)
    req_worker_customer (req)->waiting--;
  req->is_queued = 0;
}

/* Returns the worker's entry for REQ's customer, created at first use.  */
struct worker_customer *
req_worker_customer (struct req *req)
{
  GHashTable *customers = req->worker->customers;
  struct worker_customer *customer
      = g_hash_table_lookup (customers, &req->customer_id);
  uint64_t *key;

  if (customer != NULL)
    return customer;
  customer = g_new0 (struct worker_customer, 1);
  customer->denied_ms = -SHARE_DENIAL_TTL_MS;
  key = g_new (uint64_t, 1);
  *key = req->customer_id;
  g_hash_table_insert (customers, key, customer);
  return customer;
}
