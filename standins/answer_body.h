#pragma once

#include <cstddef>
#include <string>

namespace sardinespoke {

/// @returns The body that a stand-in worker answers: the nonce, then a fixed pattern. A caller can
/// compute it and so notice a wrong or partial answer.
/// @param aBytes Length of the body; a shorter nonce is padded, a longer one is kept whole.
std::string
MakeResponseBody(const std::string& aNonce, size_t aBytes);

}
