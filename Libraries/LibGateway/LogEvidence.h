#pragma once

#include <LibDispatch/PartCrashes.h>
#include <LibGateway/EvidenceSource.h>

#include <cstdint>
#include <string>

namespace lycheeseam {

/// Logs evidence that has changed what this instance believes of a prompt part.
void
LogEvidence(part_crashes const& aEvidence, evidence_source aSource);

/// A part's key as log lines show it.
std::string
PartKeyText(std::uint64_t aKey);

}
