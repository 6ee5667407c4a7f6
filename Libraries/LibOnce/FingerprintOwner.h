#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

#include <span>

namespace lycheeseam {

/// The server of a pool on which a fingerprint may run without a permit and
/// as a suspect. Pass every server of the pool's row, also ones that are
/// down, so that all instances choose the same.
backend_server_id
FallbackServer(digest const& aFingerprint,
               std::span<backend_server_id const> aServers);

/// The instance that grants the permits of the fingerprints whose fallback is
/// this server.
instance_id
FingerprintOwnerFor(backend_server_id const& aFallback,
                    std::span<instance_id const> aInstances);

}
