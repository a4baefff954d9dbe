/** Measurements of the decision code and of whole processes. */
package org.lentilsail.measure;
