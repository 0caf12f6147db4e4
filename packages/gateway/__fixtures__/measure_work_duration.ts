/** Prints the error of the expected service time with and without reported work duration ratios. */
import {durationErrors, sequenceKinds} from './duration_sequences';

const ratesPerS = [1, 5, 30];
console.log('| sequence | requests/s and target | error without reports | with reports |');
console.log('| --- | --- | --- | --- |');
for (const kind of sequenceKinds) {
  for (const ratePerS of ratesPerS) {
    const {withoutReports, withReports} = durationErrors(kind, ratePerS, 1);
    const cells = [withoutReports, withReports].map(error => error.toFixed(3));
    console.log(`| ${kind.name} | ${ratePerS} | ${cells.join(' | ')} |`);
  }
}
