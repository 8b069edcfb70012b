import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { StepError } from "@waxwingspread/common";
import type { Journal } from "@waxwingspread/common";
import { ErrorCode, JournalService, ReadJournalResponseSchema } from "@waxwingspread/protocol";
import type { JournalEvent, ReadJournalRequest } from "@waxwingspread/protocol";

const matchesFilter = (event: JournalEvent, request: ReadJournalRequest): boolean =>
    event.wallMs >= request.sinceWallMs
    && (request.customer === "" || event.customer === "" || event.customer === request.customer)
    && (request.requestId === "" || event.requestId === request.requestId);

/** Registers the service that returns this process's journal to operators with a valid token. */
export const journalRoutes =
    (journal: Journal, authorizeOperator: (token: string) => boolean) => (router: ConnectRouter): void => {
        router.service(JournalService, {
            readJournal: request => {
                if (!authorizeOperator(request.operatorToken)) {
                    const error = new StepError(
                        ErrorCode.UNAUTHENTICATED,
                        "read journal",
                        journal.process,
                        "wrong token",
                    );
                    return create(ReadJournalResponseSchema, { error: error.toDetail(), process: journal.process });
                }
                const events = journal.events().filter(event => matchesFilter(event, request));
                return create(ReadJournalResponseSchema, {
                    process: journal.process,
                    events: request.limit === 0 ? events : events.slice(-request.limit),
                    dropped: journal.dropped,
                });
            },
        });
    };
