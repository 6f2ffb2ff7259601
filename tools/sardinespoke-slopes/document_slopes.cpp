#include "slope.h"
#include "slope_groups.h"
#include "synthetic.h"

#include <memory>

namespace sardinespoke {

namespace {

template<typename Document>
std::shared_ptr<const Document>
ParseWhole(const std::string& aText)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::shared_ptr<const Document>> {
      if constexpr (std::is_same_v<Document, FleetMap>) {
        BOOST_LEAF_AUTO(parsed, FleetMap::Parse(aText));
        return std::make_shared<const Document>(std::move(parsed));
      } else {
        BOOST_LEAF_AUTO(parsed, ProfileSet::Parse(aText, 0));
        return std::make_shared<const Document>(std::move(parsed));
      }
    },
    [](const ConfigError& aError) -> std::shared_ptr<const Document> {
      throw std::runtime_error(aError.path_ + ": " + aError.message_);
    },
    []() -> std::shared_ptr<const Document> { throw std::runtime_error("invalid document"); });
}

template<typename Document, typename Make, typename Count>
void
MeasureDocument(std::ostream& aOut,
                const std::string& aName,
                const std::string& aSize,
                const Make& aMake,
                const Count& aCount)
{
  SlopeSeries bytes{ aName + ".bytes", aSize, "bytes", {} };
  SlopeSeries parse{ aName + ".parse_and_validate", aSize, "cpu us", {} };
  SlopeSeries serialize{ aName + ".serialize", aSize, "cpu us", {} };
  SlopeSeries memory{ aName + ".memory_parsed", aSize, "bytes", {} };
  for (const SyntheticSize& size : SizeSteps()) {
    const Document document = aMake(size);
    const std::string text = document.Serialize();
    const double count = aCount(size);
    bytes.points_.emplace_back(count, text.size());
    parse.points_.emplace_back(count, CpuMicroseconds([&]() { ParseWhole<Document>(text); }));
    serialize.points_.emplace_back(count, CpuMicroseconds([&]() { document.Serialize(); }));
    std::shared_ptr<const Document> kept;
    memory.points_.emplace_back(count, HeapBytes([&]() { kept = ParseWhole<Document>(text); }));
  }
  for (const SlopeSeries& series : { bytes, parse, serialize, memory }) {
    WriteSlope(aOut, series);
  }
}

}

void
MeasureDocuments(std::ostream& aOut)
{
  MeasureDocument<FleetMap>(aOut, "fleet", "hosts", &MakeFleet, [](const SyntheticSize& aSize) {
    return static_cast<double>(aSize.workers_);
  });
  MeasureDocument<ProfileSet>(
    aOut, "profiles", "profiles", &MakeProfiles, [](const SyntheticSize& aSize) {
      return static_cast<double>(aSize.profiles_);
    });
}

}
