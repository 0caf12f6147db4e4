/**
 * Texts for the people who asked: a parish secretary, a family that books a tent. Each text says what was
 * asked, what happened, whether it ran and what to do now, in words that need no knowledge of the system.
 */
import type {Outcome, ResultCode, ResultCodeKey} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';

/** The parts of an explanation that differ from one result code to the next. */
export interface ExplanationTemplate {
  /** What happened, as one or two sentences. */
  readonly happened: string;
  /** What to do now, as one or two sentences. */
  readonly advice: string;
  /** Whether it ran, when the general sentence for the outcome does not fit. */
  readonly ran?: string;
}

const ranTexts: Readonly<Record<Outcome, string>> = {
  'not-run': 'It was not carried out, and nothing was booked, charged or changed.',
  run: 'It was carried out once.',
  unknown: 'We cannot tell yet whether it was carried out.',
};

const askSupport = 'Please give this text to the people who run the service.';
const sendAgain = 'Please send it again in a moment.';
const nothingChanged = 'Nothing was changed.';

/** One template for each result code. */
export const explanationTemplates: Readonly<Record<ResultCodeKey, ExplanationTemplate>> = {
  malformedRequest: {
    happened: 'It arrived incomplete or in a form that could not be read.',
    advice: 'Please check the form and send it again. If the same happens, ask for help.',
  },
  unknownService: {
    happened: 'There is no service of that name here.',
    advice: 'Please check the address. If it came from a link, tell whoever gave it to you.',
  },
  idempotencyKeyRequired: {
    happened: 'It came without the number that protects you from a second booking or charge.',
    advice: `Sending it again will not help until the program you use is corrected. ${askSupport}`,
  },
  idempotencyKeyReused: {
    happened: 'It carried the number of an earlier, different request.',
    advice: 'Please start it anew from the beginning, and not by going back to the old page.',
  },
  bodyTooLarge: {
    happened: 'What you sent, for example a photo or a plan, is larger than can be accepted.',
    advice: 'Please make the file smaller, or send it in parts.',
  },
  callerCancelled: {
    happened: 'It was cancelled, or the connection on your side closed, before we passed it on.',
    advice: 'If you still want it, please send it again.',
  },
  regionOverloaded: {
    happened: 'Everyone who could answer was busy.',
    advice: 'Please wait a minute and send it again.',
  },
  noTarget: {
    happened: 'The service cannot be reached at the moment.',
    advice: 'Please wait a few minutes and send it again.',
  },
  deadlineTooShort: {
    happened: 'The queue was too long to answer in the time that your program allows.',
    advice: 'Please wait a minute and send it again.',
  },
  claimUnavailable: {
    happened: 'We could not make sure that it would be carried out only once, so we did not start.',
    advice: 'Please send the same request again in a few minutes. It cannot happen twice.',
  },
  quarantined: {
    happened: 'Each earlier attempt at this request ended with a fault, so we stopped trying it.',
    ran: 'It was not carried out this time. An earlier attempt may have been carried out in part.',
    advice: `Please do not send it again as it is. ${askSupport}`,
  },
  notReady: {
    happened: 'The machine that took it had just started and was not ready.',
    advice: sendAgain,
  },
  retriesExhausted: {
    happened: 'We offered it to several machines, and each one declined it.',
    advice: 'Please wait a minute and send it again.',
  },
  connectionLimit: {
    happened: 'Too many people were connected at the same time.',
    advice: 'Please wait a minute and send it again.',
  },
  inProgress: {
    happened: 'The same request came in before and is still being worked on.',
    advice:
      'Please wait a moment and look at the result. Sending it again will not make it run twice.',
  },
  outcomeUnknown: {
    happened: 'We passed it on, and the connection broke before the answer came.',
    ran: 'It may have been carried out. We will not send it a second time.',
    advice:
      'Please check whether the booking, order or charge is there before you start a new one.',
  },
  earlierAttemptUnknown: {
    happened:
      'We did not pass this attempt on, and could not check whether an earlier one went through.',
    ran: 'This attempt did nothing. An earlier attempt may have been carried out.',
    advice: 'Please send the same request again in a few minutes. It cannot happen twice.',
  },
  targetFailed: {
    happened: 'A fault occurred while it was being worked on.',
    ran: 'It may have been carried out in whole or in part.',
    advice: 'Please check whether it is there, and send it again only if it is not.',
  },
  deadlineExceeded: {
    happened: 'We passed it on, and no answer came in time.',
    ran: 'It may still have been carried out.',
    advice: 'Please check whether it is there, and send it again only if it is not.',
  },
  alreadyRun: {
    happened: 'The same request was carried out before. The full answer is no longer kept.',
    ran: 'It was carried out once and was not repeated.',
    advice: 'You need not send it again. Please look at your bookings or orders for the details.',
  },
  unauthenticated: {
    happened: 'The sign-in was missing or not valid.',
    ran: nothingChanged,
    advice: 'Please sign in again.',
  },
  forbidden: {
    happened: 'Your sign-in does not allow this.',
    ran: nothingChanged,
    advice: 'Please ask someone who has the permission.',
  },
  invalidIntent: {
    happened: 'The instruction has an entry that is not valid.',
    ran: nothingChanged,
    advice: 'Please correct the entry that the details name and make a new plan.',
  },
  planConflict: {
    happened: 'Someone else made a change after your plan was made.',
    ran: nothingChanged,
    advice: 'Please make a new plan, look at it and confirm it.',
  },
  planUnsafe: {
    happened: 'The plan would overload a region or leave a service without targets.',
    ran: nothingChanged,
    advice: 'Please do what the details suggest and make a new plan.',
  },
  storeUnavailable: {
    happened: 'The place where changes are kept does not answer.',
    ran: nothingChanged,
    advice: 'Please confirm the same plan again in a few minutes.',
  },
  confirmUnknown: {
    happened: 'The place where changes are kept did not say whether it kept this one.',
    ran: 'The change may be in force.',
    advice: 'Please confirm the same plan again. It cannot take effect twice.',
  },
  notFound: {
    happened: 'There is nothing of that name.',
    ran: nothingChanged,
    advice: 'Please check the name.',
  },
  storedNotDistributed: {
    happened: 'The change is kept, but other machines do not hold it yet.',
    ran: 'The change was accepted and takes effect when they do.',
    advice: 'Please look at the status in a minute. You need not confirm again.',
  },
  internalError: {
    happened: 'A fault of ours occurred.',
    advice: `Please check whether it is there before you send it again. ${askSupport}`,
  },
};

const templatesByCode: ReadonlyMap<number, ExplanationTemplate> = new Map(
  Object.entries(resultCodes).map(([key, result]) => [
    result.code,
    explanationTemplates[key as ResultCodeKey],
  ]),
);

/**
 * Explains a result to the person who asked.
 * @param serviceId Service that was asked; empty when it is not known.
 * @param atMs Time of the refusal in milliseconds since the Unix epoch; shown in UTC.
 */
export function explainToPerson(result: ResultCode, serviceId: string, atMs: number): string {
  const template = templatesByCode.get(result.code) ?? explanationTemplates.internalError;
  const service = serviceId === '' ? 'the service' : `the service "${serviceId}"`;
  const asked = `You asked ${service} for something on ${formatTime(atMs)}.`;
  const ran = template.ran ?? ranTexts[result.outcome];
  return [asked, template.happened, ran, template.advice].join(' ');
}

function formatTime(atMs: number): string {
  const [day, time] = new Date(atMs).toISOString().split('T');
  return `${day} at ${time?.slice(0, 5)} UTC`;
}
