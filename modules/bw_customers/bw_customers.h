/// \file
/// Customers that share a fleet: recognition of their keys, what each of them
/// may do, and until when a configuration may be used for it. A key is known by
/// its digest only. Customers may be limited to an allowance over all hosts, of
/// which each host computes its share. The logic takes typed messages and the
/// current time; it does no I/O.
///
/// Depends on: bw_core.
#ifndef BW_CUSTOMERS_BW_CUSTOMERS_H
#define BW_CUSTOMERS_BW_CUSTOMERS_H

#include "bw_customers/allowances/allowance_bucket.h"
#include "bw_customers/allowances/allowance_shares.h"
#include "bw_customers/allowances/demand_exchange.h"
#include "bw_customers/allowances/demand_messages.h"
#include "bw_customers/allowances/demand_meter.h"
#include "bw_customers/allowances/host_allowances.h"
#include "bw_customers/directory/customer_directory.h"
#include "bw_customers/freshness/configuration_freshness.h"
#include "bw_customers/keys/key_digest.h"
#include "bw_customers/keys/presented_key.h"

#endif
