// Combines lambdas into one visitor for std::visit.
#pragma once

namespace graniterun {

template <class... Fs>
struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <class... Fs>
Overloaded(Fs...) -> Overloaded<Fs...>;

}  // namespace graniterun
