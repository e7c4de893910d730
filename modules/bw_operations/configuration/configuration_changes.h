#ifndef BW_OPERATIONS_CONFIGURATION_CONFIGURATION_CHANGES_H
#define BW_OPERATIONS_CONFIGURATION_CONFIGURATION_CHANGES_H

#include "bw_schema/bramleywinch.pb.h"

#include <vector>

namespace bw {

/// The stored configuration with the declared objects added or replaced by
/// name. With `Prune` only the declared objects remain. Two declared objects
/// of one name both remain, so that validation reports them.
schema::configuration mergeDeclared(const schema::configuration &Stored,
                                    const schema::configuration &Declared,
                                    bool Prune);

/// Objects that differ, by kind and name. Both must be valid; the order of
/// lists does not count.
std::vector<schema::object_change>
compareConfigurations(schema::configuration Before,
                      schema::configuration After);

} // namespace bw

#endif
