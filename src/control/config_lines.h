// Codec of the JSON lines that distribute configuration, between a gatekeeper and a distributor and between
// two distributors, of a distributor's stored records and of published patches. Every parser throws
// ProtocolError on invalid input; a line has at most kMaxLineBytes. docs/design/distribution.md lists the
// lines.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "control/gap_json.h"
#include "distribution/distributor.h"
#include "distribution/subscriber.h"

namespace graniterun::control {

// Bytes of a gatekeeper's or distributor's name; the minimum is 1.
constexpr std::size_t kMaxGatekeeperNameLength = 255;
// Bytes of a rejection reason that are sent; longer reasons are cut.
constexpr std::size_t kMaxSentReasonLength = 500;
// Bytes of a rejection reason that are accepted: each sent byte that is not UTF-8 arrives as three.
constexpr std::size_t kMaxReasonLength = 2048;

std::string_view to_string(distribution::VoterState voter_state);  // new, recovering, voting
// Whether the length is within bounds and no control character occurs.
bool is_gatekeeper_name(std::string_view name);

// ---- lines from a client (gatekeeper or other distributor) to a distributor

nlohmann::json subscribe_line(const std::string& name,
                              const std::vector<distribution::VersionsNotified::Entry>& held, bool primary);
nlohmann::json subscribe_all_line(const std::string& name);
nlohmann::json primary_line(bool primary);
nlohmann::json acknowledge_line();
nlohmann::json fetch_line(const std::string& service, distribution::Version version);
nlohmann::json report_line(const distribution::ReportStatus& report);
nlohmann::json return_line(const distribution::ServiceConfig& config);
nlohmann::json propose_line(std::uint64_t proposal, const distribution::ServiceConfig& config);
nlohmann::json heartbeat_answer_line();

// The Distributor event of a client's line; nullopt for a heartbeat answer. Operators' lines (`op` is
// `config`) are rejected: ConfigDistributor handles them before.
std::optional<distribution::DistributorEvent> parse_client_line(distribution::ClientId client,
                                                                const nlohmann::json& line);

// ---- lines from a distributor

nlohmann::json versions_line(const distribution::NotifyVersions& notification);
nlohmann::json config_line(const distribution::ServiceConfig& config);
nlohmann::json missing_line(const std::string& service);
nlohmann::json request_config_line(const std::string& service);
nlohmann::json heartbeat_line();
nlohmann::json proposal_answer_line(const distribution::AnswerProposal& answer);

// The event of a distributor's line at a gatekeeper, and at another distributor, where a heartbeat yields
// nullopt.
distribution::SubscriberEvent parse_subscriber_line(std::uint32_t source, const nlohmann::json& line);
std::optional<distribution::DistributorEvent> parse_peer_line(std::uint32_t peer, const nlohmann::json& line);

// ---- stored records: the text of one bucket, one JSON line per service

std::string serialize_records(const std::map<std::string, distribution::ServiceRecord>& records);
std::map<std::string, distribution::ServiceRecord> parse_records(std::string_view text);

// The canonical form of a JSON merge patch: no white space, keys sorted. Throws ProtocolError if the text is
// not a JSON object, sets a key other than `settings` and `journal`, or is nested deeper than kMaxJsonDepth.
std::string canonical_patch(std::string_view text);

// Describes why canonical content cannot be published for the service: an invalid service name, a wrong size,
// or a line that would exceed kMaxLineBytes. Empty if it can be published.
std::string find_config_error(std::string_view service, std::string_view content);

}  // namespace graniterun::control
