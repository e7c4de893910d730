/// \file
/// Reading of JSON that others have written, part by part as it arrives. Keeps
/// the members that a shape names and holds no text and no tree of the rest.
///
/// Depends on: bw_core.
#ifndef BW_JSON_BW_JSON_H
#define BW_JSON_BW_JSON_H

#include "bw_json/stream/json_shape.h"
#include "bw_json/stream/json_stream.h"

#endif
