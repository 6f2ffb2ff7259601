#include "bounded_json_p.h"

namespace sardinespoke {

namespace {

using DomParser = nlohmann::detail::json_sax_dom_parser<nlohmann::json>;

/// Builds the value and aborts parsing at the depth limit.
class DepthLimitedParser : public DomParser
{
public:
  explicit DepthLimitedParser(nlohmann::json& aRoot)
    : DomParser(aRoot, false)
  {
  }

  // NOLINTBEGIN(readability-identifier-naming): the library prescribes these names.
  bool start_object(std::size_t aElements)
  {
    return ++depth_ <= kMaxNesting && DomParser::start_object(aElements);
  }

  bool start_array(std::size_t aElements)
  {
    return ++depth_ <= kMaxNesting && DomParser::start_array(aElements);
  }

  bool end_object()
  {
    --depth_;
    return DomParser::end_object();
  }

  bool end_array()
  {
    --depth_;
    return DomParser::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  size_t depth_ = 0;
};

/// @returns The value; empty if the input has errors or is nested too deeply.
template<typename Input>
std::optional<nlohmann::json>
Parse(const Input& aBegin, const Input& aEnd, nlohmann::json::input_format_t aFormat)
{
  nlohmann::json value;
  DepthLimitedParser parser(value);
  try {
    const bool whole = nlohmann::json::sax_parse(aBegin, aEnd, &parser, aFormat);
    if (whole && !parser.is_errored()) {
      return value;
    }
  } catch (const std::exception&) {
    // The input declares a length that cannot be allocated.
    return std::nullopt;
  }
  return std::nullopt;
}

}

nlohmann::json
ParseJson(const std::string& aText)
{
  std::optional<nlohmann::json> value =
    Parse(aText.begin(), aText.end(), nlohmann::json::input_format_t::json);
  return value ? std::move(*value) : nlohmann::json(nlohmann::json::value_t::discarded);
}

std::optional<nlohmann::json>
DecodeCbor(const uint8_t* aData, size_t aSize)
{
  return Parse(aData, aData + aSize, nlohmann::json::input_format_t::cbor);
}

}
