/// \file
/// Emulator of what the gateway stands in front of and relies on: a versioned
/// object store and backend servers with gray failures. What is spoken on the
/// wire comes from outside (`relay_headers`, an adapter for the store).
///
/// Depends on: bw_core, bw_kernel, bw_http, bw_gateway, bw_forward.
#ifndef BW_EMULATOR_BW_EMULATOR_H
#define BW_EMULATOR_BW_EMULATOR_H

#include "bw_emulator/servers/emulated_server.h"
#include "bw_emulator/store/odd_values.h"
include "bw_emulator/store/versioned_store.h"

#endif
