#pragma once

#include <azurecross_core/azurecross_core.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <vector>

namespace azurecross {

/**
 * Executes and records orders. An order is
 * `{"fencing","action","name","version"}` with the actions `load_model`,
 * `unload_model`, `load_adapter`, `unload_adapter` and `change_role`.
 */
class OrderBook
{
public:
  OrderBook(bool aChecksFencing,
            Duration aLoadTime,
            const std::vector<std::string>& aModels);

  /** Records an order; @returns the HTTP status and the answer. */
  std::pair<unsigned, boost::json::object> Take(
    const boost::json::object& aOrder,
    Time aNow);

  /** @returns whether a request for the model can run. */
  bool HasModel(const std::string& aModel, Time aNow);
  /** Adds `models`, `adapters`, `loading`, `role` and `fencing`. */
  void Describe(boost::json::object& aLoad, Time aNow);
  const boost::json::array& GetRecord() const { return record_; }

private:
  struct Loading
  {
    std::string action_;
    std::string name_;
    std::string version_;
    Time readyAt_;
  };

  void Execute(const std::string& aAction,
               const std::string& aName,
               const std::string& aVersion,
               Time aNow);
  void FinishLoads(Time aNow);

  bool checksFencing_;
  Duration loadTime_;
  std::int64_t highestFencing_ = 0;
  /** Without models in the settings or by order, every model is served. */
  bool servesAnyModel_;
  /** Versions by name; empty if the order named none. */
  std::map<std::string, std::string> models_;
  std::map<std::string, std::string> adapters_;
  std::string role_ = "mixed";
  std::vector<Loading> loading_;
  boost::json::array record_;
};

} // namespace azurecross
