#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

#include <span>

namespace lycheeseam {

/// Returns the server of a pool on which a fingerprint may run without a
/// permit, and the only one on which it may run as a suspect, after it ran on a
/// server that crashed. aServers is every server of the pool's row, including
/// those that are down, so that all instances select the same one.
backend_server_id
FallbackServer(digest const& aFingerprint,
               std::span<backend_server_id const> aServers);

/// Returns the instance that issues the permits of all fingerprints whose
/// fallback server is aFallback.
instance_id
FingerprintOwnerFor(backend_server_id const& aFallback,
                    std::span<instance_id const> aInstances);

}
