/// The configuration in force on this node, as other parts read it.
#pragma once

#include "pearbarrow/config/configuration.h"

namespace pearbarrow::node {

class configuration_view {
  public:
    virtual ~configuration_view() = default;
    /// Never null, and its version never falls.
    virtual config::configuration_ptr current() const = 0;
};

}  // namespace pearbarrow::node
