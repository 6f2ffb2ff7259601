#pragma once

#include <cstddef>
#include <string>

namespace sardinespoke {

/// @returns The response body of a stand-in worker: the nonce, then a fixed pattern. A caller
/// computes the same body to detect a wrong or truncated response.
/// @param aBytes Length of the body; a shorter nonce is padded, a longer one is not truncated.
std::string
MakeResponseBody(const std::string& aNonce, size_t aBytes);

}
