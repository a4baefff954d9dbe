/** The operators' command line. */
package org.lentilsail.cli;
