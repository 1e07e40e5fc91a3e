#pragma once

/// Umbrella header of the catalogue package: entries, database definitions and their distribution state.

#include "kumquatbank/catalogue/Catalogue.h"
#include "kumquatbank/catalogue/CatalogueEntry.h"
#include "kumquatbank/catalogue/DatabaseDefinition.h"
