export * from "./gen/waxwingspread/v1/control_pb.js";
export * from "./gen/waxwingspread/v1/events_pb.js";
export * from "./gen/waxwingspread/v1/model_pb.js";
export * from "./gen/waxwingspread/v1/replication_pb.js";
