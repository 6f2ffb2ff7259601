#include "bounded_json_p.h"
#include "confirm_message_p.h"
#include "fuzz_input.h"

// NOLINTNEXTLINE(readability-identifier-naming): name that libFuzzer calls.
extern "C" int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  using namespace sardinespoke;
  const std::optional<nlohmann::json> message = DecodeCbor(aData, aSize);
  if (!message) {
    return 0;
  }
  try {
    ConfirmRequest::FromJson(*message).ToJson();
  } catch (const nlohmann::json::exception&) {
    // The link counts it as malformed.
  }
  try {
    ConfirmReply::FromJson(*message).ToJson();
  } catch (const nlohmann::json::exception&) {
    // The caller takes it for no reply.
  }
  try {
    const DocumentPatch patch = PatchFromJson(message->at("patch"));
    ApplyDocumentPatch(R"({"hosts":{"h":[1,2]},"revision":1})", patch);
  } catch (const nlohmann::json::exception&) {
    // The link counts it as malformed.
  }
  return 0;
}
