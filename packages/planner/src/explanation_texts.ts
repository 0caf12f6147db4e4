/**
 * Explanations of results for end users. Each one says what was requested, what happened, whether the request ran
 * and what to do next, without terms of the system.
 */
import type {Outcome, ResultCode, ResultCodeKey} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';

/** The parts of an explanation that depend on the result code. */
export interface ExplanationTemplate {
  /** What happened, in one or two sentences. */
  readonly whatHappened: string;
  /** What to do next, in one or two sentences. */
  readonly advice: string;
  /** Whether the request ran, when the default sentence for the outcome does not fit. */
  readonly outcomeText?: string;
}

const outcomeTexts: Readonly<Record<Outcome, string>> = {
  'not-run': 'It was not carried out, and nothing was booked, charged or changed.',
  run: 'It was carried out once.',
  unknown: 'We cannot tell yet whether it was carried out.',
};

const askSupportAdvice = 'Please give this text to the people who run the service.';
const sendAgainAdvice = 'Please send it again in a moment.';
const nothingChangedText = 'Nothing was changed.';

/** One template for each result code. */
export const explanationTemplates: Readonly<Record<ResultCodeKey, ExplanationTemplate>> = {
  malformedRequest: {
    whatHappened: 'It arrived incomplete or in a form that could not be read.',
    advice: 'Please check the form and send it again. If the same happens, ask for help.',
  },
  unknownService: {
    whatHappened: 'There is no service of that name here.',
    advice: 'Please check the address. If it came from a link, tell whoever gave it to you.',
  },
  idempotencyKeyRequired: {
    whatHappened: 'It came without the number that protects you from a second booking or charge.',
    advice: `Sending it again will not help until the program you use is corrected. ${askSupportAdvice}`,
  },
  idempotencyKeyReused: {
    whatHappened: 'It carried the number of an earlier, different request.',
    advice: 'Please start it anew from the beginning, and not by going back to the old page.',
  },
  bodyTooLarge: {
    whatHappened: 'What you sent, for example a photo or a plan, is larger than can be accepted.',
    advice: 'Please make the file smaller, or send it in parts.',
  },
  callerCancelled: {
    whatHappened:
      'It was cancelled, or the connection on your side closed, before we passed it on.',
    advice: 'If you still want it, please send it again.',
  },
  regionOverloaded: {
    whatHappened: 'Everyone who could answer was busy.',
    advice: 'Please wait a minute and send it again.',
  },
  noTarget: {
    whatHappened: 'The service cannot be reached at the moment.',
    advice: 'Please wait a few minutes and send it again.',
  },
  deadlineTooShort: {
    whatHappened: 'The queue was too long to answer in the time that your program allows.',
    advice: 'Please wait a minute and send it again.',
  },
  claimUnavailable: {
    whatHappened:
      'We could not make sure that it would be carried out only once, so we did not start.',
    advice: 'Please send the same request again in a few minutes. It cannot happen twice.',
  },
  quarantined: {
    whatHappened:
      'Each earlier attempt at this request ended with a fault, so we stopped trying it.',
    outcomeText:
      'It was not carried out this time. An earlier attempt may have been carried out in part.',
    advice: `Please do not send it again as it is. ${askSupportAdvice}`,
  },
  notReady: {
    whatHappened: 'The machine that took it had just started and was not ready.',
    advice: sendAgainAdvice,
  },
  retriesExhausted: {
    whatHappened: 'We offered it to several machines, and each one declined it.',
    advice: 'Please wait a minute and send it again.',
  },
  connectionLimit: {
    whatHappened: 'Too many people were connected at the same time.',
    advice: 'Please wait a minute and send it again.',
  },
  inProgress: {
    whatHappened: 'The same request came in before and is still being worked on.',
    advice:
      'Please wait a moment and look at the result. Sending it again will not make it run twice.',
  },
  outcomeUnknown: {
    whatHappened: 'We passed it on, and the connection broke before the answer came.',
    outcomeText: 'It may have been carried out. We will not send it a second time.',
    advice:
      'Please check whether the booking, order or charge is there before you start a new one.',
  },
  earlierAttemptUnknown: {
    whatHappened:
      'We did not pass this attempt on, and could not check whether an earlier one went through.',
    outcomeText: 'This attempt did nothing. An earlier attempt may have been carried out.',
    advice: 'Please send the same request again in a few minutes. It cannot happen twice.',
  },
  targetFailed: {
    whatHappened: 'A fault occurred while it was being worked on.',
    outcomeText: 'It may have been carried out in whole or in part.',
    advice: 'Please check whether it is there, and send it again only if it is not.',
  },
  deadlineExceeded: {
    whatHappened: 'We passed it on, and no answer came in time.',
    outcomeText: 'It may still have been carried out.',
    advice: 'Please check whether it is there, and send it again only if it is not.',
  },
  alreadyRun: {
    whatHappened: 'The same request was carried out before. The full answer is no longer kept.',
    outcomeText: 'It was carried out once and was not repeated.',
    advice: 'You need not send it again. Please look at your bookings or orders for the details.',
  },
  unauthenticated: {
    whatHappened: 'The sign-in was missing or not valid.',
    outcomeText: nothingChangedText,
    advice: 'Please sign in again.',
  },
  forbidden: {
    whatHappened: 'Your sign-in does not allow this.',
    outcomeText: nothingChangedText,
    advice: 'Please ask someone who has the permission.',
  },
  invalidIntent: {
    whatHappened: 'The instruction has an entry that is not valid.',
    outcomeText: nothingChangedText,
    advice: 'Please correct the entry that the details name and make a new plan.',
  },
  planConflict: {
    whatHappened: 'Someone else made a change after your plan was made.',
    outcomeText: nothingChangedText,
    advice: 'Please make a new plan, look at it and confirm it.',
  },
  planUnsafe: {
    whatHappened: 'The plan would overload a region or leave a service without targets.',
    outcomeText: nothingChangedText,
    advice: 'Please do what the details suggest and make a new plan.',
  },
  storeUnavailable: {
    whatHappened: 'The place where changes are kept does not answer.',
    outcomeText: nothingChangedText,
    advice: 'Please confirm the same plan again in a few minutes.',
  },
  confirmUnknown: {
    whatHappened: 'The place where changes are kept did not say whether it kept this one.',
    outcomeText: 'The change may be in force.',
    advice: 'Please confirm the same plan again. It cannot take effect twice.',
  },
  notFound: {
    whatHappened: 'There is nothing of that name.',
    outcomeText: nothingChangedText,
    advice: 'Please check the name.',
  },
  storedNotDistributed: {
    whatHappened: 'The change is kept, but other machines do not hold it yet.',
    outcomeText: 'The change was accepted and takes effect when they do.',
    advice: 'Please look at the status in a minute. You need not confirm again.',
  },
  internalError: {
    whatHappened: 'A fault of ours occurred.',
    advice: `Please check whether it is there before you send it again. ${askSupportAdvice}`,
  },
};

const templatesByCode: ReadonlyMap<number, ExplanationTemplate> = new Map(
  Object.entries(resultCodes).map(([key, result]) => [
    result.code,
    explanationTemplates[key as ResultCodeKey],
  ]),
);

/**
 * Explains a result to the end user.
 * @param serviceId Requested service; empty when unknown.
 * @param atMs Time of the refusal in milliseconds since the Unix epoch; shown in UTC.
 */
export function explainToUser(result: ResultCode, serviceId: string, atMs: number): string {
  const template = templatesByCode.get(result.code) ?? explanationTemplates.internalError;
  const serviceText = serviceId === '' ? 'the service' : `the service "${serviceId}"`;
  const requestText = `You asked ${serviceText} for something on ${formatTime(atMs)}.`;
  const outcomeText = template.outcomeText ?? outcomeTexts[result.outcome];
  return [requestText, template.whatHappened, outcomeText, template.advice].join(' ');
}

function formatTime(atMs: number): string {
  const [day, time] = new Date(atMs).toISOString().split('T');
  return `${day} at ${time?.slice(0, 5)} UTC`;
}
