/// \file
/// Core types shared by every module: strongly typed ids and units, the root
/// of all exceptions, stable hashing and seeded random numbers.
///
/// Depends on: nothing.
#ifndef BW_CORE_BW_CORE_H
#define BW_CORE_BW_CORE_H

#include "bw_core/errors/error.h"
#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/store_position.h"
#include "bw_core/ids/strong_number.h"
#include "bw_core/ids/strong_text.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"
#include "bw_core/random/random_source.h"
#include "bw_core/random/stable_hash.h"

#endif
