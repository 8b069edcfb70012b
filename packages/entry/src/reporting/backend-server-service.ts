import { StepError } from "@waxwingspread/common";
import { ErrorCode } from "@waxwingspread/protocol";
import type { Announcement } from "@waxwingspread/protocol";
import type { EntryContext } from "../context.js";
import { EntryMetric } from "../effects.js";
import type { RequestHandle } from "../effects.js";
import type { OpenRequests } from "../http/open-requests.js";
import type { TaskResult } from "../http/parse-backend-server-request.js";
import { ReportBatcher } from "./report-batcher.js";
import type { AnnouncementReply } from "./report-batcher.js";
import { ResultReceiver } from "./result-receiver.js";
import type { EndSettledCallback } from "./result-receiver.js";

const HTTP_OK = 200;

/** Handles the announcements and results that backend servers send. */
export class BackendServerService {
    readonly batcher: ReportBatcher;
    readonly #resultReceiver: ResultReceiver;

    constructor(
        readonly context: EntryContext,
        readonly requests: OpenRequests,
        readonly entryAddresses: () => readonly string[],
        onEndSettled: EndSettledCallback,
    ) {
        this.batcher = new ReportBatcher(context);
        this.#resultReceiver = new ResultReceiver(context, requests, this.batcher, onEndSettled);
    }

    /** True when no report is pending and no result is in progress. */
    get isIdle(): boolean {
        return this.batcher.isIdle && this.#resultReceiver.size === 0;
    }

    handleAnnouncement(handle: RequestHandle, announcement: Announcement, nowMs: number): void {
        this.context.effects.count(EntryMetric.AnnouncementsReceived);
        const isAccepted = this.batcher.addAnnouncement(announcement, reply => {
            this.requests.replyJson(handle, HTTP_OK, this.#announceReplyJson(reply));
        }, nowMs);
        if (!isAccepted) {
            const message = "too many announcements wait for the leader";
            const { entryId } = this.context.settings;
            this.requests.replyError(handle, new StepError(ErrorCode.OVERLOADED, "announce", entryId, message));
        }
    }

    handleResult(handle: RequestHandle, result: TaskResult, nowMs: number): void {
        this.#resultReceiver.receive(handle, result, nowMs);
    }

    tick(nowMs: number): void {
        this.batcher.tick(nowMs);
    }

    #announceReplyJson(reply: AnnouncementReply | undefined): string {
        const lease = reply?.lease;
        return JSON.stringify({
            lease: lease && {
                expiresMs: lease.expiresBackendMs,
                term: lease.term,
                token: lease.token === "" ? undefined : lease.token,
            },
            entries: this.entryAddresses(),
            fullListWanted: reply?.fullListWanted === true ? true : undefined,
        });
    }
}
