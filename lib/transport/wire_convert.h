#pragma once

#include "chestnutstand/transport/peer_client.h"

#include "node.pb.h"

namespace chestnutstand {

// Conversions between the messages of node.proto and the C++ types that the rest of the code uses.

wire::Call to_wire(const service_call& call);
/// The message without the body of the request.
wire::Call head_to_wire(const service_call& call);
service_call from_wire(const wire::Call& call);

wire::LoadReport to_wire(const load_report& load);
load_report from_wire(const wire::LoadReport& load);

wire::ExecuteReply to_wire(const call_result& result);
/// The message without the body of the response.
wire::ExecuteReply head_to_wire(const call_result& result);
call_result from_wire(const wire::ExecuteReply& reply);

wire::SettleReply to_wire(const settle_result& result);
settle_result from_wire(const wire::SettleReply& reply);

wire::FetchChangesRequest to_wire(const fetch_request& request);
fetch_request from_wire(const wire::FetchChangesRequest& message);
wire::FetchChangesReply to_wire(const fetched_changes& changes);
/// DataLossError if a compressed payload cannot be read.
absl::StatusOr<fetched_changes> from_wire(const wire::FetchChangesReply& reply);

wire::SyncMembersMessage to_wire(const std::vector<std::string>& members);
std::vector<std::string> from_wire(const wire::SyncMembersMessage& message);

wire::QuotaRequest to_wire(const quota_request& request);
quota_request from_wire(const wire::QuotaRequest& message);

wire::QuotaReply to_wire(const quota_reply& reply);
quota_reply from_wire(const wire::QuotaReply& message);

} // namespace chestnutstand
