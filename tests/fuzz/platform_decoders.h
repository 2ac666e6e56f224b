/// Entry points of the fuzz targets for what the adapter reads from the outside service. Each takes
/// any bytes and must neither crash nor throw; a broken property aborts.
#pragma once

#include <string_view>

namespace pearbarrow::fuzz {

/// A back end's entry: one that is taken has an id, a service, an address, a zone and places.
void feed_backend_entry(std::string_view bytes);
/// The operator's configuration: one that is taken has a service for each route.
void feed_configuration(std::string_view bytes);
/// The storage view: one that is taken reads the same after it was written again.
void feed_storage_view(std::string_view bytes);
/// A storage member that announces itself, likewise.
void feed_storage_member(std::string_view bytes);

}  // namespace pearbarrow::fuzz
