/// \file
/// Client of the platform's object API and host list. Results keep apart what
/// took effect, what certainly did not, and what may have.
///
/// Depends on: bw_core, bw_kernel, bw_http, bw_json.
#ifndef BW_PLATFORM_BW_PLATFORM_H
#define BW_PLATFORM_BW_PLATFORM_H

#include "bw_platform/client/platform_client.h"
#include "bw_platform/hosts/host_list.h"
#include "bw_platform/limits/token_bucket.h"
#include "bw_platform/objects/memory_object_store.h"
#include "bw_platform/objects/object_store.h"
#include "bw_platform/objects/platform_objects.h"

#endif
